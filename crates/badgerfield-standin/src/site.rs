//! A small site of real processes on loopback, for tests that kill and suspend processes.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use badgerfield_core::template::KeyDigest;
use badgerfield_node::http::{self, HttpClient};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

/// The API key of callers, which draws on the budget of the site.
pub const CALLER_KEY: &str = "site-key";
/// The name of the budget of the site.
pub const BUDGET_NAME: &str = "parcelview/accra";
/// The secret that the VM processes of the site share.
const FLEET_SECRET: &str = "6f3d1c0f8a5b4e7d9c2a1b0e6f5d4c3b2a1908f7e6d5c4b3a29180f7e6d5c4b3";
/// The first port that sites use.
const FIRST_PORT: u16 = 22_000;
/// The number of ports that sites use.
const PORT_COUNT: u16 = 8_000;
/// The timeout of a request, with its whole answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The timeout of [`Site::wait_until`].
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// Texts of log lines that are written every few seconds, and left out of printed logs.
const PERIODIC_TEXTS: [&str; 2] = ["node: messages ", "platform: calls "];
/// The interval at which [`Site::wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status; 0 if no complete answer was received.
    pub status: u16,
    /// The whole body.
    pub body: String,
}

impl Answer {
    /// Returns the body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a streamed answer, if it is complete.
    #[must_use]
    pub fn streamed_text(&self) -> Option<String> {
        let mut text = String::new();
        for line in self.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line == "[DONE]" {
                return Some(text);
            }
            let event: Value = serde_json::from_str(line).ok()?;
            text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        None
    }
}

/// One VM and its process, if it was started.
#[derive(Debug)]
struct Vm {
    settings_path: PathBuf,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    process: Option<Child>,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The admin address of the key-value service.
    pub kv_admin: SocketAddr,
    /// The admin address of the plain service.
    pub service_admin: SocketAddr,
    /// The admin addresses of the engines.
    pub engine_admins: Vec<SocketAddr>,
    folder: PathBuf,
    program_folder: PathBuf,
    client: HttpClient,
    kv_address: SocketAddr,
    list_address: SocketAddr,
    vms: Vec<Vm>,
    standins: Vec<Child>,
}

impl Site {
    /// Starts a site with `vms` VMs, 2 engines and a budget of `limit` tokens, and waits until
    /// every VM is ready.
    ///
    /// The engines produce `decode` tokens per second for each stream.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start(program_folder: &Path, vms: usize, limit: u64, decode: u64) -> Result<Self> {
        Self::start_with_engines(program_folder, (vms, 2), limit, decode).await
    }

    /// Does the same as [`Site::start`] with a given number of VMs and of engines.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start_with_engines(
        program_folder: &Path,
        (vms, engines): (usize, usize),
        limit: u64,
        decode: u64,
    ) -> Result<Self> {
        Self::start_processes(program_folder, (vms, engines), (limit, decode), None).await
    }

    /// Starts a site with one VM, one engine, and a plain service that runs already at an address.
    /// The site has no admin address for it.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start_with_service(program_folder: &Path, service: SocketAddr) -> Result<Self> {
        Self::start_processes(program_folder, (1, 1), (100_000, 200), Some(service)).await
    }

    async fn start_processes(
        program_folder: &Path,
        (vms, engines): (usize, usize),
        (limit, decode): (u64, u64),
        service: Option<SocketAddr>,
    ) -> Result<Self> {
        // The folder is new for each site: `bills` would count log lines of an earlier run.
        let name = format!("badgerfield-{}-{}", std::process::id(), free_address()?.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            kv_admin: free_address()?,
            service_admin: free_address()?,
            engine_admins: (0..engines).map(|_| free_address()).collect::<Result<_>>()?,
            folder,
            program_folder: program_folder.to_owned(),
            client: http::client(),
            kv_address: free_address()?,
            list_address: free_address()?,
            vms: Vec::new(),
            standins: Vec::new(),
        };
        site.start_standins(vms, decode, service)?;
        site.wait_until("the VM list", async |s| s.get(s.list_address, "/").await.status == 200)
            .await?;
        site.wait_until("the key-value service", async |s| {
            s.get(s.kv_admin, "/calls").await.status == 200
        })
        .await?;
        let service_admin = service.is_none().then_some(site.service_admin);
        for admin in site.engine_admins.clone().into_iter().chain(service_admin) {
            site.wait_until("an upstream", async |s| s.get(admin, "/truth").await.status == 200)
                .await?;
        }
        for index in 0..vms {
            site.add_vm(index)?;
            site.start_vm(index)?;
        }
        site.apply_templates(limit)?;
        for index in 0..vms {
            site.wait_until("a VM", async |s| s.is_ready(index).await).await?;
        }
        Ok(site)
    }

    /// Starts the process of a VM; its output is appended to the log of the VM.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be run.
    pub fn start_vm(&mut self, index: usize) -> Result<()> {
        let log = self.folder.join(format!("vm-{index}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(self.program_folder.join("badgerfield"));
        command.arg("run").arg("--settings").arg(&self.vms[index].settings_path);
        self.vms[index].process = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    /// Sends a signal to the process of a VM: `KILL`, `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    ///
    /// Fails if the VM was not started or `kill` fails.
    pub fn send_signal(&mut self, index: usize, signal: &str) -> Result<()> {
        let process = self.vms[index].process.as_mut().context("the VM was not started")?;
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(process.id().to_string())
            .status()?;
        if !status.success() {
            bail!("kill -{signal} failed");
        }
        if signal == "KILL" {
            process.wait()?;
        }
        Ok(())
    }

    /// Returns the address of a VM for callers.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.vms[index].caller_address
    }

    /// Returns the process id of a VM; 0 if it was not started.
    #[must_use]
    pub fn pid(&self, index: usize) -> u32 {
        self.vms[index].process.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process of a VM has ended.
    ///
    /// # Errors
    ///
    /// Fails if the VM was not started or the state of its process cannot be read.
    pub fn has_ended(&mut self, index: usize) -> Result<bool> {
        let process = self.vms[index].process.as_mut().context("the VM was not started")?;
        Ok(process.try_wait()?.is_some())
    }

    /// Returns whether a VM is ready to serve callers.
    pub async fn is_ready(&self, index: usize) -> bool {
        self.get(self.vms[index].operator_address, "/readyz").await.status == 200
    }

    /// Returns the status report of a VM.
    pub async fn status(&self, index: usize) -> Value {
        self.get(self.vms[index].operator_address, "/v1/status").await.json()
    }

    /// Sends a request for a streamed chat completion to a VM.
    pub async fn send_chat(
        &self,
        index: usize,
        key: Option<&str>,
        prompt: &str,
        output: u64,
    ) -> Answer {
        let body = json!({
            "model": "land-7b",
            "stream": true,
            "max_tokens": output,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let address = self.vms[index].caller_address;
        self.send(address, Method::POST, "/v1/chat/completions", key, body.to_string()).await
    }

    /// Sends a request for the plain service to a VM.
    pub async fn call_service(&self, index: usize, key: &str, path: &str) -> Answer {
        let path = format!("/svc/scoring/{path}");
        self.send(self.vms[index].caller_address, Method::POST, &path, Some(key), "team 4".into())
            .await
    }

    /// Sets the faults of a stand-in.
    pub async fn set_faults(&self, admin: SocketAddr, faults: &Value) -> Answer {
        self.send(admin, Method::POST, "/faults", None, faults.to_string()).await
    }

    /// Returns the requests that a stand-in executed.
    pub async fn fetch_truth(&self, admin: SocketAddr) -> Value {
        self.get(admin, "/truth").await.json()
    }

    /// Returns the number of engines whose process has ended.
    pub async fn ended_engines(&self) -> usize {
        let mut ended = 0;
        for admin in &self.engine_admins {
            ended += usize::from(self.get(*admin, "/truth").await.status != 200);
        }
        ended
    }

    /// Returns the sum of the prompt and output tokens that all engines served.
    pub async fn total_served_tokens(&self) -> u64 {
        let mut served = 0;
        for admin in &self.engine_admins {
            let truth = self.fetch_truth(*admin).await;
            for stream in truth.as_object().into_iter().flat_map(serde_json::Map::values) {
                served += stream["prompt"].as_u64().unwrap_or(0);
                served += stream["output"].as_u64().unwrap_or(0);
            }
        }
        served
    }

    /// Returns the log of a VM.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("vm-{index}.log"))).unwrap_or_default()
    }

    /// Returns the bill lines in the logs of all VMs: key, cost, and whether it was billed.
    #[must_use]
    pub fn bills(&self) -> Vec<(String, u64, bool)> {
        let mut bills = Vec::new();
        for index in 0..self.vms.len() {
            for line in self.log(index).lines().filter(|line| line.contains(" bills: ")) {
                let words: Vec<_> = line.split_whitespace().collect();
                let word_after = |name: &str| {
                    let position = words.iter().position(|w| *w == name)?;
                    words.get(position + 1).map(|w| w.trim_end_matches(':').to_owned())
                };
                let key = word_after("stream").unwrap_or_default();
                let cost = word_after("cost").and_then(|c| c.parse().ok()).unwrap_or(0);
                bills.push((key, cost, line.ends_with(": billed")));
            }
        }
        bills
    }

    /// Returns the sum of the costs of all bill lines, in tokens.
    #[must_use]
    pub fn total_billed_tokens(&self) -> u64 {
        self.bills().iter().map(|bill| bill.1).sum()
    }

    /// Returns the requests that each engine executed.
    pub async fn fetch_all_truth(&self) -> Vec<Value> {
        let mut truth = Vec::new();
        for admin in &self.engine_admins {
            truth.push(self.fetch_truth(*admin).await);
        }
        truth
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Fails after a timeout, with the status and the last log lines of each VM.
    pub async fn wait_until(&self, name: &str, holds: impl AsyncFn(&Self) -> bool) -> Result<()> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while Instant::now() < deadline {
            if holds(self).await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let mut vm_reports = String::new();
        for index in 0..self.vms.len() {
            let (status, log) = (self.status(index).await, self.log(index));
            let lines: Vec<_> = log.lines().rev().take(12).collect();
            vm_reports = format!("{vm_reports}\nVM {index}: {status}\n{}", lines.join("\n"));
        }
        bail!("timed out waiting for {name}{vm_reports}")
    }

    /// Applies the templates of the site, with a limit of its budget in tokens.
    ///
    /// # Errors
    ///
    /// Fails if `badgerfield template apply` fails.
    pub fn apply_templates(&self, limit: u64) -> Result<()> {
        let file = self.folder.join("templates.ini");
        std::fs::write(&file, templates(limit))?;
        let status = Command::new(self.program_folder.join("badgerfield"))
            .args(["template", "apply", "--author", "site", "--settings"])
            .arg(&self.vms[0].settings_path)
            .arg(&file)
            .stdout(Stdio::null())
            .status()?;
        if !status.success() {
            bail!("template apply failed: {status}");
        }
        Ok(())
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Answer {
        self.send(address, Method::GET, path, None, String::new()).await
    }

    async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: String,
    ) -> Answer {
        let mut request = Request::builder().method(method).uri(format!("http://{to}{path}"));
        request = request.header("authorization", format!("Bearer {CALLER_KEY}"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let no_answer = Answer { status: 0, body: String::new() };
        let Ok(request) = request.body(Full::new(Bytes::from(body))) else {
            return no_answer;
        };
        let request = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = http::read_body(response.into_body(), 16_000_000).await?;
            Some(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok().flatten().unwrap_or(no_answer)
    }

    fn start_standins(
        &mut self,
        vms: usize,
        decode: u64,
        external_service: Option<SocketAddr>,
    ) -> Result<()> {
        let service = external_service.map_or_else(free_address, Ok)?;
        let engines: Vec<_> =
            self.engine_admins.iter().map(|_| free_address()).collect::<Result<_>>()?;
        let list = self.folder.join("vms.json");
        std::fs::write(&list, vm_list(vms, service, &engines).to_string())?;
        let (kv, kv_admin) = (self.kv_address, self.kv_admin);
        self.spawn("kv", kv, kv_admin, &[])?;
        if external_service.is_none() {
            self.spawn("service", service, self.service_admin, &[])?;
        }
        let file = list.to_string_lossy().into_owned();
        self.spawn("vms", self.list_address, free_address()?, &["--file", &file])?;
        for (engine, admin) in engines.into_iter().zip(self.engine_admins.clone()) {
            self.spawn("engine", engine, admin, &["--decode", &decode.to_string()])?;
        }
        Ok(())
    }

    fn spawn(
        &mut self,
        kind: &str,
        listen: SocketAddr,
        admin: SocketAddr,
        extra_args: &[&str],
    ) -> Result<()> {
        let child = Command::new(self.program_folder.join("badgerfield-standin"))
            .arg(kind)
            .args(["--listen", &listen.to_string(), "--admin", &admin.to_string()])
            .args(extra_args)
            .stdout(Stdio::null())
            .spawn()
            .with_context(|| {
                format!("failed to start the stand-in {kind}; build the workspace first")
            })?;
        self.standins.push(child);
        Ok(())
    }

    fn add_vm(&mut self, index: usize) -> Result<()> {
        let (callers, peers, operators) = (free_address()?, free_address()?, free_address()?);
        let settings = self.folder.join(format!("vm-{index}.ini"));
        let region = if index.is_multiple_of(2) { "north" } else { "south" };
        let text = format!(
            "[vm]\nname = vm-{index}\nregion = {region}\ndomain = d{index}\n\
             [listen]\ncallers = {callers}\npeers = {peers}\noperators = {operators}\n\
             [platform]\nkv = http://{}\nvm_list = http://{}/\nvm_poll = 500ms\n\
             [keys]\nfleet = {FLEET_SECRET}\n[limits]\ndirectory = 1s\nsilence = 4s\n",
            self.kv_address, self.list_address
        );
        std::fs::write(&settings, text)?;
        self.vms.push(Vm {
            settings_path: settings,
            caller_address: callers,
            operator_address: operators,
            process: None,
        });
        Ok(())
    }
}

impl Site {
    /// Prints the logs of all VMs in the order of time, without the periodic lines, so that the
    /// output of a failed test shows its events.
    fn print_logs(&self) {
        let mut lines = Vec::new();
        for index in 0..self.vms.len() {
            let log = self.log(index);
            let shown =
                log.lines().filter(|line| !PERIODIC_TEXTS.iter().any(|text| line.contains(text)));
            lines.extend(shown.map(|line| format!("{line} [vm-{index}]")));
        }
        lines.sort();
        eprintln!("{}", lines.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let vms = self.vms.iter_mut().filter_map(|vm| vm.process.as_mut());
        for child in vms.chain(self.standins.iter_mut()) {
            // An error means that the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            self.print_logs();
        } else {
            // The logs are needed only after a failure. An error leaves the folder behind.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an address that is free for TCP and UDP and that no other site uses.
///
/// If another site took the address of a VM while the VM has no process, the next process of
/// the VM could not start. The range of ports lies below the ports that the system assigns to
/// outgoing connections.
fn free_address() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    for _ in 0..PORT_COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset % PORT_COUNT;
        // Test processes that run at the same time use different loopback addresses.
        let address = SocketAddr::from(([127, high, low, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no port is free")
}

fn vm_list(vms: usize, service: SocketAddr, engines: &[SocketAddr]) -> Value {
    let mut list = Vec::new();
    for (n, address) in engines.iter().enumerate() {
        let kind = json!({ "engine": { "model": "land-7b", "prefill": 20000, "decode": 50 } });
        list.push(upstream(&format!("engine-{n}"), *address, &kind));
    }
    list.push(upstream("scoring-0", service, &json!({ "service": "scoring" })));
    list.extend((0..vms).map(|n| json!({ "vm": format!("vm-{n}") })));
    Value::Array(list)
}

fn upstream(id: &str, address: SocketAddr, kind: &Value) -> Value {
    let upstream = json!({
        "id": id, "address": address, "region": "north", "hardware": "new", "slots": 64, "kind": kind,
    });
    json!({ "vm": format!("u-{id}"), "upstream": upstream })
}

fn templates(limit: u64) -> String {
    let digest = KeyDigest::from_secret(CALLER_KEY);
    format!(
        "[account parcelview]\nmodels = land-7b\nservices = scoring\nunrepeatable = scoring/score\n\
         output_limit = 64\n[budget {BUDGET_NAME}]\nlimit = {limit}\nkeys = {digest}\n"
    )
}
