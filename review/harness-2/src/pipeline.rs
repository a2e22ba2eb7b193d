//! Client that sends further idempotent requests before the first is answered, and always keeps the same
//! number of them outstanding.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Answer;

/// What the client sends and how it reads.
#[derive(Clone, Debug)]
pub struct Options {
    /// Beginning of the ids of the attempts.
    pub name: String,
    /// Path of all requests.
    pub path: String,
    /// Number of requests that are kept outstanding.
    pub depth: usize,
    /// Time for which the client waits for each answer, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the cookie of each request.
    pub cookie_bytes: usize,
    /// Bytes per second at which the client reads bodies, if it reads slowly.
    pub pace: Option<usize>,
    /// Time after which no further request is sent.
    pub sending: Duration,
}

/// A request of the client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: String,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Its answer and the time at which it was complete.
    pub answer: Option<(Answer, Instant)>,
}

/// Everything that the client saw.
#[derive(Debug)]
pub struct Outcome {
    /// Requests in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Time at which the connection ended or the client stopped.
    pub ended: Instant,
    /// Error that ended the connection, unless an answer closed it.
    pub error: Option<String>,
}

/// Starts a client on a connection.
pub fn start(stream: TcpStream, options: Options) -> thread::JoinHandle<io::Result<Outcome>> {
    thread::spawn(move || run(stream, &options))
}

fn run(stream: TcpStream, options: &Options) -> io::Result<Outcome> {
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let (permits, permitted) = mpsc::channel();
    for _ in 0..options.depth {
        // The receiver lives until the sender below ends.
        let _ = permits.send(());
    }
    let (output, sent, sending) = (stream.try_clone()?, attempts.clone(), options.clone());
    let sender = thread::spawn(move || send(output, &permitted, &sent, &sending));
    let mut input = BufReader::with_capacity(4096, stream);
    let mut error = None;
    for index in 0.. {
        let id = format!("{}-{index}", options.name);
        let mut read_body = |input: &mut BufReader<TcpStream>, length| match options.pace {
            Some(pace) => read_slowly(input, length, pace),
            None => client::whole(input, length),
        };
        match client::read(&mut input, &id, &mut read_body) {
            Ok(answer) => {
                let closes = answer.closes;
                let mut attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(attempt) = attempts.get_mut(index) {
                    attempt.answer = Some((answer, Instant::now()));
                }
                let finished = sender.is_finished() && index + 1 == attempts.len();
                drop(attempts);
                if closes || finished {
                    break;
                }
                let _ = permits.send(());
            }
            Err(problem) => {
                error = Some(problem.to_string());
                break;
            }
        }
    }
    let ended = Instant::now();
    let _ = input.get_ref().shutdown(std::net::Shutdown::Both);
    drop(permits);
    let _ = sender.join();
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(Outcome { attempts, ended, error })
}

fn send(
    mut output: TcpStream,
    permits: &Receiver<()>,
    sent: &Mutex<Vec<Attempt>>,
    options: &Options,
) {
    let started = Instant::now();
    for (index, ()) in permits.iter().enumerate() {
        if started.elapsed() > options.sending {
            return;
        }
        let id = format!("{}-{index}", options.name);
        let text = client::get(&options.path, &id, options.deadline_ms, options.cookie_bytes);
        let attempt = Attempt { id, sent: Instant::now(), answer: None };
        sent.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a body at a pace, in pieces of a twentieth of a second.
fn read_slowly(
    input: &mut BufReader<TcpStream>,
    length: usize,
    pace: usize,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(length);
    while body.len() < length {
        let size = (pace / 20).min(length - body.len());
        body.extend(client::whole(input, size)?);
        thread::sleep(Duration::from_millis(50));
    }
    Ok(body)
}
