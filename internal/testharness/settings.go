package testharness

import "chutechute/internal/testharness/site"

// Settings is the settings document, in JSON, of a small site with two classes: look-ups, and loads with a key.
const Settings = site.Settings
