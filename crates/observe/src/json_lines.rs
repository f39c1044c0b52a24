//! JSON lines on standard output, bounded, from a thread of their own.
//!
//! A line that doesn't fit is counted and left out; whoever logs never waits. Failures have more room
//! than the rest, so that a flood of ordinary decisions can't hide them. Lines about the life of the
//! process have room of their own.

use {
    crate::{LIFECYCLE, last_words::print_error},
    logforth::{
        Append, Diagnostic, Error,
        kv::{KeyView, ValueView, Visitor},
        record::{Level, Record},
    },
    std::{
        io::{self, Write},
        panic::catch_unwind,
        sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError},
        thread::{self, ThreadId},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Bytes that wait to be written before ordinary lines are left out.
const WAITING_BYTES_MAX: usize = 64 << 10;
/// Bytes that wait to be written before failures are left out too.
const WAITING_FAILURES_MAX: usize = 96 << 10;
/// Ordinary lines in a second.
const LINES_PER_S: u32 = 400;
/// Lines in a second, failures included.
const FAILURES_PER_S: u32 = 800;
/// Lines about the life of the process in a second.
const LIFECYCLE_PER_S: u32 = 100;
/// Bytes that wait to be written before these are left out too.
const WAITING_LIFECYCLE_MAX: usize = 128 << 10;
/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait of a flush. Nobody may be reading standard output.
const FLUSH_WAIT_MAX: Duration = Duration::from_millis(200);

/// What a line is about, which decides how much room there is for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Ordinary,
    Failure,
    Lifecycle,
}

impl Topic {
    fn of(record: &Record<'_>) -> Self {
        if record.target() == LIFECYCLE {
            Self::Lifecycle
        } else if record.level() >= Level::Warn {
            Self::Failure
        } else {
            Self::Ordinary
        }
    }
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines since `second` began, but for those about the life of the process.
    lines: u32,
    /// Lines about the life of the process since `second` began.
    lifecycle_lines: u32,
    second: u64,
    left_out: u64,
    /// Number of times that the buffer was drained.
    drains: u64,
    /// Of these, the number whose bytes were written.
    written: u64,
    is_flush_wanted: bool,
}

#[derive(Debug)]
struct Shared {
    /// Name of the VM, on every line.
    vm: String,
    buffer: Mutex<Buffer>,
    filled: Condvar,
    written: Condvar,
    writer: OnceLock<ThreadId>,
}

/// Appends records as JSON lines.
#[derive(Debug)]
pub(crate) struct JsonLines {
    shared: Arc<Shared>,
}

impl JsonLines {
    /// Starts the writing thread. Lines are dropped if it can't be started.
    pub(crate) fn open(vm: &str) -> Self {
        let shared = Arc::new(Shared {
            vm: vm.to_owned(),
            buffer: Mutex::default(),
            filled: Condvar::new(),
            written: Condvar::new(),
            writer: OnceLock::new(),
        });
        let writer = Arc::clone(&shared);
        let spawned =
            thread::Builder::new().name("log".to_owned()).spawn(move || writer.write_all());
        if let Err(err) = spawned {
            print_error(&format!("can't start the log thread: {err}"));
        }
        Self { shared }
    }

    fn format(&self, record: &Record<'_>, at_ms: u64) -> Result<Vec<u8>, Error> {
        let mut line = Vec::with_capacity(192);
        let level = record.level().name();
        // Writing to a vector can't fail.
        let _ = write!(line, "{{\"t_ms\":{at_ms},\"level\":\"{level}\",\"vm\":");
        put_text(&mut line, &self.shared.vm);
        line.extend_from_slice(b",\"event\":");
        put_text(&mut line, &record.payload().to_string());
        record.key_values().visit(&mut Fields { line: &mut line })?;
        line.extend_from_slice(b"}\n");
        Ok(line)
    }
}

impl Append for JsonLines {
    fn append(&self, record: &Record<'_>, _diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let at_ms = unix_ms(record.time());
        let line = self.format(record, at_ms)?;
        let mut buffer = self.shared.lock();
        if buffer.take(&line, at_ms / 1000, Topic::of(record)) {
            drop(buffer);
            self.shared.filled.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.shared.flush();
        Ok(())
    }
}

impl Buffer {
    /// Adds `line` if there is room for it.
    fn take(&mut self, line: &[u8], second: u64, topic: Topic) -> bool {
        if second != self.second {
            self.second = second;
            (self.lines, self.lifecycle_lines) = (0, 0);
        }
        let (lines, lines_max, bytes_max) = match topic {
            Topic::Ordinary => (&mut self.lines, LINES_PER_S, WAITING_BYTES_MAX),
            Topic::Failure => (&mut self.lines, FAILURES_PER_S, WAITING_FAILURES_MAX),
            Topic::Lifecycle => (&mut self.lifecycle_lines, LIFECYCLE_PER_S, WAITING_LIFECYCLE_MAX),
        };
        if *lines >= lines_max || self.bytes.len() + line.len() > bytes_max {
            self.left_out += 1;
            return false;
        }
        *lines += 1;
        self.bytes.extend_from_slice(line);
        true
    }

    /// Everything to be written, with a line that counts what was left out.
    fn drain(&mut self, vm: &str) -> Vec<u8> {
        let left_out = std::mem::take(&mut self.left_out);
        if left_out > 0 {
            let at_ms = unix_ms(SystemTime::now());
            let line = &mut self.bytes;
            // Writing to a vector can't fail.
            let _ = write!(line, "{{\"t_ms\":{at_ms},\"level\":\"WARN\",\"vm\":");
            put_text(line, vm);
            let _ = writeln!(line, ",\"event\":\"lines_left_out\",\"lines\":{left_out}}}");
        }
        self.drains += 1;
        self.is_flush_wanted = false;
        std::mem::take(&mut self.bytes)
    }

    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.left_out == 0
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes lines as they come, for as long as the process lives.
    fn write_all(&self) {
        // Fails only if it was set already.
        let _ = self.writer.set(thread::current().id());
        loop {
            let mut buffer = self.lock();
            while buffer.is_empty() && !buffer.is_flush_wanted {
                buffer = self.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
            }
            // The panic hook tells of a panic here, in the next round.
            let gathering = |buffer: &mut Buffer| !buffer.is_flush_wanted;
            drop(self.filled.wait_timeout_while(buffer, GATHER, gathering));
            let _ = catch_unwind(|| self.write_out());
        }
    }

    /// Only the writing thread calls this, since it may have to wait for a reader.
    fn write_out(&self) {
        let mut buffer = self.lock();
        let bytes = buffer.drain(&self.vm);
        let drains = buffer.drains;
        drop(buffer);
        // Nobody is left to be told when standard output is gone.
        let _ = io::stdout().write_all(&bytes).and_then(|()| io::stdout().flush());
        self.lock().written = drains;
        self.written.notify_all();
    }

    /// Waits until the lines so far are written, or until [`FLUSH_WAIT_MAX`] has passed.
    fn flush(&self) {
        if self.writer.get() == Some(&thread::current().id()) {
            return;
        }
        let mut buffer = self.lock();
        buffer.is_flush_wanted = true;
        let wanted = buffer.drains + 1;
        self.filled.notify_all();
        let is_unwritten = |buffer: &mut Buffer| buffer.written < wanted;
        drop(self.written.wait_timeout_while(buffer, FLUSH_WAIT_MAX, is_unwritten));
    }
}

struct Fields<'a> {
    line: &'a mut Vec<u8>,
}

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.line.push(b',');
        put_text(self.line, key.as_str());
        self.line.push(b':');
        let start = self.line.len();
        if serde_json::to_writer(&mut *self.line, &value).is_err() {
            self.line.truncate(start);
            put_text(self.line, &value.to_string());
        }
        Ok(())
    }
}

fn put_text(line: &mut Vec<u8>, text: &str) {
    serde_json::to_writer(line, text).expect("text can be written to a vector");
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
