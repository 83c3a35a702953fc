package standin

import "chutechute/internal/standin/site"

// Settings are those of a small site: look-ups, and loads with a key.
const Settings = site.Settings
