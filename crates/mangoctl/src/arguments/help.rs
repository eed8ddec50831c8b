//! What `--help` prints. `docs/CLI.md` holds the same text, which a test compares.

/// The list of commands and options.
pub(crate) const HELP: &str = "\
mangoctl - operate a mangorouter fleet

USAGE
    mangoctl COMMAND [OPTIONS]

DECLARATIONS
    check FOLDER               report every error in a folder of declarations
    diff FOLDER                show what applying the folder would change, and for whom
    apply FOLDER               put the folder in force everywhere; asks first
    explain policy             show every value and what decided it
                               (--service, --team, --class, --data-centre, --rack, --worker,
                               --folder FOLDER to explain a folder instead of what is in force)

JOBS
    job submit FILE            submit the job of a TOML file
    job list                   list jobs with their tasks by phase
    job show JOB               show a job, its tasks and their history
    job cancel JOB             stop a job for good; asks first
    job unpark JOB             let a parked job be tried again
    explain task JOB/INDEX     why a task is where it is, or waits

FLEET
    status                     workers, endpoints, processes, teams and the control group
    worker drain WORKER        move the tasks of a worker away; asks first
    worker undrain WORKER      give a worker tasks again
    explain worker WORKER      why a worker gets tasks, or gets none
    timeline                   what happened in all processes, causes first
                               (--where FIELD=TEXT, --last DURATION, --follow, --from FILE,
                               --save FILE, --html FILE)

CONTROL GROUP
    member add REPLICA ADDRESS add a replica without a vote, under an id never used before
    member promote REPLICA     give a replica that has caught up a vote
    member remove REPLICA      remove a replica for good; asks first

OPTIONS
    --at ADDRESS[,ADDRESS]     operators' addresses of control processes
                               (else the variable MANGOROUTER_OPERATOR)
    --json                     print JSON for programs
    -y, --yes                  do not ask
    --wait                     return once the effect is seen
    --wait-for DURATION        how long --wait waits (60s)
    --timeout DURATION         how long one call may take (10s)
    --submission ID            name the change, to resend it after a lost answer
    --base REVISION            the revision that the folder was changed from
    -h, --help                 print this
    -V, --version              print the version

EXIT CODES
    0  done                    3  errors in a file
    1  refused                 4  no answer: the outcome is unknown or nothing was done
    2  wrong command line      5  gave up waiting
";
