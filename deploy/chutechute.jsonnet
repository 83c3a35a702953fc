// What an installation sets for chutechute beyond the platform's own configuration. It is read only where
// --installation names it; docs/operators/statements.md says what each key does.

// Look-ups are what counters and kiosks wait for; what takes longer than this alone on its threads is a report.
local lookup_ms = 1000;

local lookup(condition) = { class: 'lookup', cost_ms: lookup_ms } + condition;
local report(condition) = { class: 'report' } + condition;
local load(condition) = { class: 'manifest-load' } + condition;

{
  statement: {
    enabled: true,

    // A statement that can't be read fails at once; "once" would serve it under unparsed_class, one attempt.
    unparsed: 'fail',

    // Functions whose call changes something.
    effects: ['nextval', 'setval', 'pg_advisory_lock', 'lo_import', 'lo_unlink', 'dblink_exec'],

    // Sizes of tables, for what is asked before anything was learned: { 'ops_1.flights': { rows: 1e6, mb: 400 } }.
    tables: {},

    // The first rule that holds gives the class.
    rules: [
      report({ tables: ['stats_*', 'archive_*'] }),
      lookup({}),
      report({}),
      load({ verbs: ['insert', 'update', 'delete', 'merge', 'copy'] }),
    ],
  },
}
