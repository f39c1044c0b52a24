//! What became of a request, and why.

use {crate::line::LogLine, std::fmt};

/// Pause between two events from which a stream is worth a remark: the shortest that the users'
/// routes allow.
const LONG_PAUSE_MS: u64 = 300;
/// Time before a first byte from which a wait or a slow server is worth a remark: a quarter of the
/// shortest objective that the users' streaming routes have.
const LONG_WAIT_MS: u64 = 100;

/// What became of a request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was answered before it was read as a whole, and never sent.
    Rejected {
        /// Status of the answer.
        status: u64,
        /// Name of the reason.
        reason: String,
    },
    /// The system gave it up and said so.
    GivenUp {
        /// Status of the answer.
        status: u64,
        /// Name of the reason.
        reason: String,
        /// Attempts that were made.
        attempts: u64,
        /// The last attempt's failure, with its server.
        last_failure: Option<(String, String)>,
        /// Another attempt would have gone over the bound on repeats.
        budget_used_up: bool,
        /// The quarantined parts that its prompt holds, if it was refused for them.
        quarantined: Option<QuarantinedParts>,
    },
    /// Its stream was cut.
    Cut {
        /// The last server's failure, with its name.
        last_failure: Option<(String, String)>,
        /// Events were passed on from more than one server.
        resumed: bool,
        /// A server that was only silent and was left, with the one that was to go on.
        left: Option<(String, String)>,
        /// Name of why it goes on nowhere; empty in the logs of earlier versions.
        reason: String,
    },
    /// Its caller left before the end.
    CallerLeft {
        /// Longest pause of the stream until then.
        pause_ms: u64,
    },
    /// Its caller left before an answer, or the process ended.
    Left {
        /// What the request did then.
        stage: String,
        /// How long it had been there.
        after_ms: u64,
    },
    /// A server answered that it had failed.
    ServerFailed {
        /// The server.
        server: String,
        /// Status of its answer.
        status: u64,
    },
    /// It was served. Whether that was late, its route's objective says; this is what took longest.
    Served {
        /// Time to the first byte.
        first_ms: u64,
        /// The part of it that stands out.
        delay: Delay,
        /// Longest pause of the stream, if it is worth a remark.
        pause_ms: Option<u64>,
    },
    /// Lines are missing: it was still under way, or logs were left out under load.
    Unfinished,
}

/// Parts of prompts that are kept from engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedParts {
    /// Hashes of the parts, as in the caller's header.
    pub parts: String,
    /// Number of crashes that they explain.
    pub crashes: u64,
}

/// What took longest before a first byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delay {
    /// Nothing stands out.
    Little,
    /// It waited for a model or adapter that no server held.
    Missing {
        /// How long.
        wait_ms: u64,
        /// The model or adapter.
        model: String,
    },
    /// It waited for room on a server.
    Crowded {
        /// How long.
        wait_ms: u64,
    },
    /// An attempt failed first.
    Failed {
        /// The server that failed.
        server: String,
        /// How.
        failure: String,
    },
    /// The server took its time.
    Slow {
        /// The server.
        server: String,
        /// From the send to the first byte.
        took_ms: u64,
        /// Requests that were known to be under way there.
        under_way: u64,
    },
}

impl Cause {
    /// Finds the cause in a request's lines, which are in order.
    pub fn find(lines: &[LogLine]) -> Self {
        let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
        let failure = last("attempt_failed")
            .map(|line| (line.text("server").to_owned(), line.text("failure").to_owned()));
        if let Some(line) = last("request_rejected") {
            return Self::Rejected { status: line.number("status"), reason: reason(line) };
        }
        if let Some(line) = last("request_given_up") {
            return Self::GivenUp {
                status: line.number("status"),
                reason: reason(line),
                attempts: line.number("attempts"),
                last_failure: failure,
                budget_used_up: last("repeat_budget_used_up").is_some(),
                quarantined: last("request_quarantined").map(|line| QuarantinedParts {
                    parts: line.text("parts").to_owned(),
                    crashes: line.number("crashes"),
                }),
            };
        }
        let ended = last("stream_ended");
        match ended.map(|line| line.text("outcome")) {
            Some("broken_off") => {
                let resumed = last("stream_resumed").is_some();
                let left = last("server_left")
                    .map(|line| (line.text("server").to_owned(), line.text("other").to_owned()));
                let reason = ended.map(reason).unwrap_or_default();
                return Self::Cut { last_failure: failure, resumed, left, reason };
            }
            Some("caller_left") => {
                let pause_ms = ended.map_or(0, |line| line.number("pause_ms"));
                return Self::CallerLeft { pause_ms };
            }
            _ => {}
        }
        if let Some(line) = last("request_left") {
            let (stage, after_ms) = (line.text("stage").to_owned(), line.number("after_ms"));
            return Self::Left { stage, after_ms };
        }
        let Some(answered) = last("request_answered") else { return Self::Unfinished };
        if answered.number("status") >= 500 {
            let server = answered.text("server").to_owned();
            return Self::ServerFailed { server, status: answered.number("status") };
        }
        let pause = ended.map_or(0, |line| line.number("pause_ms"));
        Self::Served {
            first_ms: answered.number("after_ms"),
            delay: Delay::find(lines, answered),
            pause_ms: (pause > LONG_PAUSE_MS).then_some(pause),
        }
    }
}

impl Delay {
    fn find(lines: &[LogLine], answered: &LogLine) -> Self {
        let before = |event: &'static str| {
            lines.iter().filter(move |line| line.event == event && line.t_ms <= answered.t_ms)
        };
        if let Some(line) = before("attempt_failed").next() {
            let (server, failure) = (line.text("server"), line.text("failure"));
            return Self::Failed { server: server.to_owned(), failure: failure.to_owned() };
        }
        let Some(sent) = before("request_sent").next_back() else { return Self::Little };
        let waited = before("request_waits").next();
        let wait_ms = sent.number("after_ms");
        match waited {
            Some(line) if wait_ms >= LONG_WAIT_MS && line.flag("missing") => {
                return Self::Missing { wait_ms, model: line.text("model").to_owned() };
            }
            Some(_) if wait_ms >= LONG_WAIT_MS => return Self::Crowded { wait_ms },
            _ => {}
        }
        let took_ms = answered.number("after_ms").saturating_sub(wait_ms);
        if took_ms < LONG_WAIT_MS {
            return Self::Little;
        }
        let under_way = sent.number("own") + sent.number("others");
        Self::Slow { server: sent.text("server").to_owned(), took_ms, under_way }
    }
}

fn reason(line: &LogLine) -> String {
    line.text("cause").to_owned()
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected { status, reason } => {
                write!(
                    f,
                    "answered {status} before it was sent anywhere: {}",
                    reason_in_words(reason)
                )
            }
            Self::GivenUp {
                status,
                reason,
                attempts,
                last_failure,
                budget_used_up,
                quarantined,
            } => {
                write!(
                    f,
                    "given up with {status} after {attempts} attempts: {}",
                    reason_in_words(reason)
                )?;
                if let Some(QuarantinedParts { parts, crashes }) = quarantined {
                    write!(f, ": {parts}, which were at {crashes} crashes")?;
                }
                if let Some((server, failure)) = last_failure {
                    write!(
                        f,
                        "; the last attempt, at {server}, failed: {}",
                        failure_in_words(failure)
                    )?;
                }
                if *budget_used_up {
                    f.write_str("; the bound on repeats was reached")?;
                }
                Ok(())
            }
            Self::Cut { last_failure, resumed, left, reason } => {
                f.write_str("the stream was cut")?;
                if let Some((server, failure)) = last_failure {
                    write!(f, ": {server} failed midway: {}", failure_in_words(failure))?;
                }
                if let Some((server, other)) = left {
                    write!(f, "; {server} was silent and was left for {other}")?;
                }
                f.write_str(if *resumed {
                    "; it had been resumed before"
                } else {
                    "; it couldn't be resumed"
                })?;
                if reason.is_empty() {
                    return Ok(());
                }
                write!(f, ": {}", reason_in_words(reason))
            }
            Self::CallerLeft { pause_ms } => {
                write!(f, "the caller left; the stream's longest pause was {pause_ms} ms")
            }
            Self::Left { stage, after_ms } => {
                write!(f, "the caller left after {after_ms} ms: {}", stage_in_words(stage))
            }
            Self::ServerFailed { server, status } => {
                write!(f, "{server} answered {status}, which was passed on")
            }
            Self::Served { first_ms, delay, pause_ms } => {
                write!(f, "served, first byte after {first_ms} ms: {delay}")?;
                match pause_ms {
                    Some(pause) => write!(f, "; then the stream paused for {pause} ms"),
                    None => Ok(()),
                }
            }
            Self::Unfinished => f.write_str(
                "unknown: the last lines are missing; see whether logs of a VM are missing or \
                 lines_left_out was logged",
            ),
        }
    }
}

impl fmt::Display for Delay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Little => f.write_str("nothing held it up"),
            Self::Missing { wait_ms, model } => {
                write!(f, "it waited {wait_ms} ms until a server held {model}")
            }
            Self::Crowded { wait_ms } => write!(f, "it waited {wait_ms} ms for room on a server"),
            Self::Failed { server, failure } => {
                write!(f, "an attempt at {server} failed first: {}", failure_in_words(failure))
            }
            Self::Slow { server, took_ms, under_way } => {
                write!(f, "{server} took {took_ms} ms with {under_way} requests under way")
            }
        }
    }
}

/// The reason of an answer of the system itself, explained.
fn reason_in_words(name: &str) -> String {
    let words = match name {
        "no_route" => "no route leads there in the configuration in force",
        "unconfigured" => "the VM had no configuration yet",
        "configuration_pending" => "a later configuration was on its way to the VM",
        "leaving" => "the VM was about to end",
        "no_key" => "its route needs a team's key, and it has none",
        "several_keys" => "it has several Authorization headers",
        "other_scheme" => "its Authorization header doesn't have the scheme Bearer",
        "empty_key" => "its key is empty",
        "key_too_long" => "its key is longer than any key can be",
        "unknown_key" => "no team has its key in the configuration in force",
        "key_revoked" => "its key was removed from the configuration before it was sent",
        "no_service" => "the route leads to no service",
        "malformed_header" => "a header can't be read",
        "no_request_id" => "it has no id",
        "body_too_large" => "its body is larger than the limit",
        "body_broken" => "its body ended early",
        "body_late" => "its body didn't come in time",
        "not_resident" => "no server holds the model, and none would in time",
        "overloaded" => "every server was too busy to answer in time",
        "quarantined" => "its prompt holds parts that crash engines",
        "limited" => "the limits that its servers name were used up",
        "over_quota" => "its team had used up its quota, see quota_refused_total",
        "no_server" => "no server of the service was usable",
        "version_unavailable" => {
            "no server of the software version that began its stream holds the model"
        }
        "version_unknown" => "it isn't known which software version began its stream",
        "refused" => "every server that was tried refused it",
        "timed_out" => "its time was over",
        "no_answer" => "it may have run, and no answer can be had",
        "no_attempt_left" => "its time, its attempts or the bound on repeats were used up",
        "may_run_once" => "its route allows one run",
        _ => return name.to_owned(),
    };
    format!("{words} ({name})")
}

/// What a request did when its caller left, explained.
fn stage_in_words(name: &str) -> String {
    let words = match name {
        "reading" => "its body was still being read",
        "looking_up_version" => "other VMs were asked which software version began its stream",
        "waiting_for_model" => "it waited for its model, which no server held",
        "waiting_for_room" => "it waited for room on a server",
        "at_server" => "a server worked on it",
        "answering" => "its stream was being passed on",
        _ => return name.to_owned(),
    };
    format!("{words} ({name})")
}

/// The failure of an attempt, explained.
fn failure_in_words(name: &str) -> String {
    let words = match name {
        "refused" => "it stated that it didn't run the request",
        "down" => "nothing listens there any more",
        "not_connected" => "no connection came about",
        "quarantined" => "it was given up, since parts of its prompt were quarantined",
        "key_revoked" => "its key was removed from the configuration before it was sent",
        "not_sent" => "the connection closed before the request left",
        "not_reserved" => "it reserved no room for the request",
        "not_held" => "it doesn't hold the model",
        "other_server" => "the address belongs to another server now",
        "failed" => "it answered that it failed",
        "broken" => "the connection broke, or the answer ended early",
        "foreign" => {
            "the answer belongs to another request, isn't signed or isn't a stream of its events"
        }
        "empty" => {
            "its stream ended properly without an event, which doesn't prove that none is missing"
        }
        "unproven_refusal" => {
            "it refused a request without naming it, on a connection that had carried others"
        }
        "silent" => "nothing came in time",
        _ => return name.to_owned(),
    };
    format!("{words} ({name})")
}
