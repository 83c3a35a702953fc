package site

// Settings is the settings document, in JSON, of a small site with two classes: lookups, and loads with an idempotency
// key.
const Settings = `{"balancers":1,"rank":0,"zone":"a","discovery":"push","failure_domains":["a"],"host_types":["k"],
"classes":[{"name":"lookup","on_time":0.4,"aim_stretch":2.5,"give_up":5,"worth":1,"repeat":"safe","group":"all",
  "window":5},
 {"name":"load","on_time":3,"give_up":25,"worth":5,"repeat":"keyed","group":"all","window":25,"by_arrival":true}],
"tenants":[{"name":"t","quota_per_s":1000,"share":1}],
"domain":{"class_threads":[1,2],"cpu_of_kind":[64],"ram_of_kind_mb":[65536],"writes_tables":[false,true],
 "yields_to_loads":[true,false]},
"limits":{"conn_idle":30,"dial_timeout":0.25,"max_attempts":5,"max_open":20000,"max_retry_after":2,
 "retry_after":true,"streams_per_conn":1},
"rules":{"cold":14,"cold_from":0.3,"fall":1,"fall_multiple":2,"drain_grace":0.5,"answer_slack":0.02}}`
