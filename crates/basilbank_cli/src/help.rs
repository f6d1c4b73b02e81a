//! Help texts.

use crate::args::{List, Topic};

/// Returns the help text on a topic.
pub fn text(topic: Topic) -> &'static str {
    match topic {
        Topic::Overview => OVERVIEW,
        Topic::Check => CHECK,
        Topic::Diff => DIFF,
        Topic::Status => STATUS,
        Topic::List(List::Catalogue) => CATALOGUE,
        Topic::List(List::Endpoints) => ENDPOINTS,
        Topic::List(List::Teams) => TEAMS,
        Topic::List(List::Peers) => PEERS,
        Topic::List(List::Requests) => REQUESTS,
        Topic::List(List::Orders) => ORDERS,
        Topic::Explain => EXPLAIN,
        Topic::Trace => TRACE,
        Topic::Watch => WATCH,
        Topic::HashKey => HASH_KEY,
    }
}

const OVERVIEW: &str = "\
basilbank: checks settings and catalogues, and asks a daemon what it is doing

usage: basilbank COMMAND [OPTIONS]

on files:
  check FILE…             check settings and catalogue documents
  diff OLD… -- NEW…       what a new catalogue changes
  trace REQUEST_ID LOG…   a request's events, from the logs of many daemons
  hash-key                read a bearer key from standard input, print its hash

on a daemon:
  diff FILE…              what a catalogue would change, by a dry run on the daemon
  status                  the daemon's state
  catalogue               entries of the catalogue in force
  endpoints               endpoints: slots held, steward, health
  teams                   teams and their requests in progress
  peers                   the VMs of the system, and which are in contact
  requests                requests in progress
  explain REQUEST_ID      why a request was placed, queued, retried or refused
  orders                  what endpoints that take orders are to serve
  watch                   print changes until Ctrl-C

options:
  --admin URL             the daemon's admin address; or BASILBANK_ADMIN
  --key-file FILE         a file with the admin key; or the key itself in BASILBANK_KEY
  --json                  print JSON instead of tables
  -h, --help              this text, or a command's

exit status: 0 success, 1 errors in documents or not found, 2 bad usage or key, 3 daemon unreachable
";

const CHECK: &str = "\
usage: basilbank check FILE… [--json]

Checks settings and catalogue documents. The fields of a file show which of the two it is. All
documents given are checked together as one catalogue. Prints each finding as
FILE:LINE:COLUMN: SEVERITY: what is wrong; what to write instead.

exit status: 0 no errors (there may be warnings), 1 errors, 2 a file can't be read
";

const DIFF: &str = "\
usage: basilbank diff OLD… -- NEW… [--json]
       basilbank diff FILE… --admin URL [--key-file FILE] [--json]

Shows what a new catalogue adds (+), removes (-) and changes (~), and the consequences. The first
form compares two sets of documents. The second has a daemon compare the documents with the
catalogue that it has in force, without changing it. The documents are the whole new catalogue.

exit status: 0 the new catalogue is valid, 1 errors in documents, 2 bad usage or key, 3 daemon unreachable
";

const STATUS: &str = "\
usage: basilbank status --admin URL [--key-file FILE] [--json]

Shows the state of one daemon: whether it is ready, the revisions of the catalogue in force, of the
documents and of the VM list, how many VMs are listed and live, whether it decides as a steward,
its requests in progress and how many of them wait.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const CATALOGUE: &str = "\
usage: basilbank catalogue --admin URL [--key-file FILE] [--json]

Lists the entries of the catalogue in force. A limit of 0 means no limit.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const ENDPOINTS: &str = "\
usage: basilbank endpoints --admin URL [--key-file FILE] [--json]

Lists endpoints as the daemon sees them: the slots it holds there, the daemon that decides on the
slots, whether the catalogue or the endpoint itself says that it is leaving, and whether it is set
aside (excluded) after failures.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const TEAMS: &str = "\
usage: basilbank teams --admin URL [--key-file FILE] [--json]

Lists teams with their requests in progress at this daemon. What they were charged is in the
metrics.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const PEERS: &str = "\
usage: basilbank peers --admin URL [--key-file FILE] [--json]

Lists the VMs on the platform's list, and whether this daemon is in contact with their daemons.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const REQUESTS: &str = "\
usage: basilbank requests --admin URL [--key-file FILE] [--json]

Lists the requests in progress at this daemon. `basilbank explain` shows more about one.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const ORDERS: &str = "\
usage: basilbank orders --admin URL [--key-file FILE] [--json]

Lists what the endpoints that take orders are to serve, and the daemon that orders it.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable
";

const EXPLAIN: &str = "\
usage: basilbank explain REQUEST_ID --admin URL [--key-file FILE] [--json]

Shows the events of a request step by step. Ask the daemon that accepted it: each remembers its
latest 2,000. The id is in the X-Request-Id header of each answer.

exit status: 0 success, 1 the daemon does not know the request, 2 bad usage or key, 3 daemon unreachable
";

const TRACE: &str = "\
usage: basilbank trace REQUEST_ID|DIGEST LOG… [--json]

Shows the lines of a request, or of all attempts that share a digest, from the logs of any number of
daemons, by time, marked with *. Among them stand the lines that explain them: what its daemon noted
of the configuration, the store and itself from ten seconds before, and what happened to the
endpoints that it was sent to. The id is the caller's own. A log that is - is read from standard
input; what a collector puts before a line's time counts as the daemon's name.

exit status: 0 success, 1 no line has the id or digest, 2 bad usage, or a file can't be read
";

const WATCH: &str = "\
usage: basilbank watch --admin URL [--key-file FILE] [--interval SECONDS] [--count N] [--json]

Asks every two seconds, or as often as --interval says, and prints what changed in status,
endpoints, peers and orders, until Ctrl-C or N rounds. A daemon that can't be reached is a change
too. With --json each change is one line.

exit status: 0 success, 2 bad usage or key, 3 daemon unreachable in the last round
";

const HASH_KEY: &str = "\
usage: basilbank hash-key [--json] < FILE

Reads a bearer key from standard input and prints the hash that goes into a team's \"keys\". A
line break at the end is not part of the key.

exit status: 0 success, 2 no key, or one that can't be sent in a header
";
