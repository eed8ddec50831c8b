//! The keys of declarations and settings. `docs/CONFIGURATION.md` explains each.

use super::{
    optional, required, KeyRule,
    ValueKind::{
        Address, ByName, Bytes, Count, Cpu, Day, Duration, Flag, List, Name, Number, OneOf, Table,
        Text,
    },
};

const MOST: i64 = u32::MAX as i64;
const PERCENT: super::ValueKind = Count { least: 0, most: 100 };
const AT_LEAST_ONE: super::ValueKind = Count { least: 1, most: MOST };

const RESOURCES: &[KeyRule] = &[
    required("cpu", Cpu, "processor time, such as \"16\" cores"),
    required("memory", Bytes, "memory, such as \"60GB\""),
    optional("accelerators", Count { least: 0, most: MOST }),
];

const POLICY: &[KeyRule] = &[
    optional(
        "request",
        Table(&[
            optional("deadline", Duration),
            optional("body_limit", Bytes),
            optional("queue", Count { least: 0, most: MOST }),
            optional("retry_percent", PERCENT),
            optional("hedge_percent", PERCENT),
            optional("key_keep", Duration),
            optional("batch", Flag),
        ]),
    ),
    optional(
        "weights",
        Table(&[
            optional("tail_latency", Number),
            optional("evictions", Number),
            optional("throughput", Number),
        ]),
    ),
    optional(
        "placement",
        Table(&[
            optional("relief_above_percent", Count { least: 1, most: 10_000 }),
            optional("throttle_floor_percent", Count { least: 1, most: 100 }),
            optional("patience", Duration),
            optional("retry_pairing_after", Duration),
        ]),
    ),
    optional(
        "blame",
        Table(&[
            optional("job_workers", AT_LEAST_ONE),
            optional("worker_jobs", AT_LEAST_ONE),
            optional("probe_after", Duration),
        ]),
    ),
    optional(
        "lease",
        Table(&[
            optional("length", Duration),
            optional("heartbeat", Duration),
            optional("drift_permille", Count { least: 0, most: 500 }),
            optional("stop_margin", Duration),
        ]),
    ),
    optional("drain", Table(&[optional("requests", Duration), optional("tasks", Duration)])),
    optional(
        "retention",
        Table(&[
            optional("finished_jobs", AT_LEAST_ONE),
            optional("task_steps", AT_LEAST_ONE),
            optional("ledger_keys", AT_LEAST_ONE),
            optional("submissions", AT_LEAST_ONE),
            optional("events", AT_LEAST_ONE),
        ]),
    ),
];

const SELECTOR: &[KeyRule] = &[
    optional("service", Name),
    optional("team", Name),
    optional("class", Name),
    optional("data_centre", Name),
    optional("rack", Name),
    optional("worker", Name),
];

const EXCEPTION: &[KeyRule] = &[
    required("name", Name, "a name by which explanations refer to the exception"),
    required("reason", Text, "why this case differs from the rule"),
    required("owner", Text, "who answers for the exception"),
    optional("expires", Day),
    required("for", Table(SELECTOR), "whom the exception is for"),
    required("values", Table(POLICY), "the values that differ"),
];

const SERVICE: &[KeyRule] = &[
    required("team", Name, "the team that answers for the service"),
    optional("idempotent_methods", List(&Text)),
];

const TEAM: &[KeyRule] = &[
    required("quota", Table(RESOURCES), "what the team's tasks may hold at once"),
    optional("may_borrow", Flag),
];

/// A file of a folder of declarations.
pub(crate) const DECLARATION_FILE: &[KeyRule] = &[
    optional("defaults", Table(POLICY)),
    optional("services", ByName(SERVICE)),
    optional("teams", ByName(TEAM)),
    optional("exceptions", List(&Table(EXCEPTION))),
];

const FOUNDER: &[KeyRule] = &[
    required("replica", Count { least: 1, most: i64::MAX }, "the replica's id"),
    required("address", Address, "where the other replicas reach it"),
];

const CONTROL: &[KeyRule] = &[
    required("replica", Count { least: 1, most: i64::MAX }, "an id never used by another disk"),
    required("data_folder", Text, "the folder of the durable state"),
    optional("founders", List(&Table(FOUNDER))),
];

const ENTRY: &[KeyRule] = &[required("callers", Address, "where callers reach the entry")];

const AGENT: &[KeyRule] = &[
    required("worker", Name, "the worker beside which the agent runs"),
    required("rack", Name, "the worker's rack"),
    required("capacity", Table(RESOURCES), "what the worker offers to tasks"),
    required("platform", Address, "where the worker's platform listens"),
    required("announce", Address, "where executors announce themselves"),
    optional("state_file", Text),
];

const STAND_IN: &[KeyRule] = &[
    required("platform", Address, "where the stand-in platform listens"),
    required("executor", Address, "where the stand-in executor listens"),
    required("announce_to", Address, "the announce port of the agent"),
    required("service", Name, "the service that the executor serves"),
    required("endpoint", Name, "the name of the endpoint"),
    required("slots", AT_LEAST_ONE, "the requests that it serves at once"),
    required("connections", AT_LEAST_ONE, "the connections that it keeps open"),
    required("service_time", Duration, "how long a request takes"),
];

const LOG: &[KeyRule] = &[
    optional("level", OneOf(&["error", "warn", "info", "debug", "trace"])),
    optional("file", Text),
];

/// The settings file of a process.
pub(crate) const SETTINGS_FILE: &[KeyRule] = &[
    required("cluster", Name, "the deployment"),
    required("name", Name, "the name of this process"),
    required("region", Name, "the region in which it runs"),
    required("data_centre", Name, "the data centre in which it runs"),
    required("internal", Address, "where other processes reach it, such as \"10.0.0.1:7100\""),
    required("operator", Address, "where operators reach it"),
    required("control_peers", List(&Address), "internal addresses of the control group"),
    optional("log", Table(LOG)),
    optional("control", Table(CONTROL)),
    optional("entry", Table(ENTRY)),
    optional("agent", Table(AGENT)),
    optional("stand-in", Table(STAND_IN)),
];

const PLACEMENT: &[KeyRule] = &[
    optional("data_centres", List(&Name)),
    optional("most_per_rack", AT_LEAST_ONE),
    optional("most_per_data_centre", AT_LEAST_ONE),
];

/// A file that describes a job.
pub(crate) const JOB_FILE: &[KeyRule] = &[
    required("id", Name, "the job's name"),
    required("team", Name, "the team whose quota the job uses"),
    required("class", Name, "the kind of task"),
    optional("priority", OneOf(&["batch", "latency-critical", "urgent"])),
    optional("tasks", AT_LEAST_ONE),
    required("resources", Table(RESOURCES), "what each task takes"),
    optional("run_time", Duration),
    optional("service", Name),
    optional("payload", Text),
    optional("placement", Table(PLACEMENT)),
];
