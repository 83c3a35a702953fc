package testharness

import "chutechute/internal/testharness/site"

// Settings is the settings document, in JSON, of a small site with two classes: lookups, and loads with an idempotency
// key.
const Settings = site.Settings
