//! Admission: checks a request against its template before it reserves tokens.

use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::event::{Answer, IncomingRequest, Outbox, Work};
use crate::ids::{Account, BudgetId, Period, RequestId, RequestKey};
use crate::node::Node;
use crate::refusal::{Cause, Outcome, Refusal};
use crate::runs::{ClaimState, Listener, Run, RunKey, Stage};
use crate::template::{AccountTemplate, KeyDigest, MAX_OUTPUT_TOKENS, TemplateSet, account_name};

/// Prefix of a request key that names the region of its arbiter, as in `@region:key`.
const HOME_REGION_PREFIX: char = '@';
/// Retry delay sent to callers that should use another VM.
const OTHER_VM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The template that applies to a request, with its account and budget.
struct MatchedTemplate {
    account: Account,
    budget: BudgetId,
    period: Period,
    template: AccountTemplate,
}

impl Node {
    /// Returns the account to which a secret belongs, if any.
    #[must_use]
    pub fn find_account(&self, secret: &KeyDigest) -> Option<Account> {
        let (budget, _) = find_budget(&self.state.templates(), secret)?;
        account_name(&budget).parse().ok()
    }

    /// Admits a caller's request and starts its run, or refuses it.
    pub(crate) fn handle_request(
        &self,
        now: Time,
        request: RequestId,
        arrival: IncomingRequest,
        out: &mut Outbox,
    ) {
        let keyed = arrival.key.is_some();
        match self.admit(now, request, arrival) {
            Ok(run) => self.join_or_start(now, request, run, out),
            Err(refusal) => {
                let mut refusal = self.confirm_refusal(now, refusal);
                // Only the arbiter knows whether a key has run before.
                if keyed && refusal.cause != Cause::BadOutput {
                    refusal.outcome = Outcome::Unknown;
                }
                out.answer(request, 0, Answer::Refused(refusal));
            }
        }
    }

    /// Returns a refusal as it is, unless it rests on what the templates lack and they may not be
    /// current.
    fn confirm_refusal(&self, now: Time, refusal: Refusal) -> Refusal {
        let is_by_templates = matches!(
            refusal.cause,
            Cause::UnknownCaller | Cause::Forbidden | Cause::NoRegionAllowed
        );
        if !is_by_templates || self.has_current_templates(now) {
            return refusal;
        }
        Refusal::not_run(Cause::NotConfirmed).with_retry_after(OTHER_VM_RETRY_AFTER)
    }

    fn admit(
        &self,
        now: Time,
        request: RequestId,
        arrival: IncomingRequest,
    ) -> Result<Run, Refusal> {
        self.check_accepting(now)?;
        let matched = self.find_template(&arrival)?;
        let keyed = arrival.key.as_deref().map(|key| run_key(key, &matched));
        let once = arrival.at_most_once || is_unrepeatable(&matched.template, &arrival.work);
        if once && keyed.is_none() {
            return Err(Refusal::not_run(Cause::KeyMissing));
        }
        let (bound, output) = max_cost(&matched.template, &arrival.work)?;
        if !is_allowed(&matched.template, &arrival.work) {
            return Err(Refusal::not_run(Cause::Forbidden));
        }
        // The template allows no region. Only operators can change that, so no retry delay is
        // sent.
        if matched.template.regions.allows_none() {
            return Err(Refusal::not_run(Cause::NoRegionAllowed));
        }
        let wait = arrival
            .max_wait
            .unwrap_or(matched.template.queue_wait)
            .min(matched.template.queue_wait);
        let claimed = if keyed.is_some() { ClaimState::Pending } else { ClaimState::Unneeded };
        Ok(Run {
            arrival,
            account: matched.account,
            budget: matched.budget,
            period: matched.period,
            priority: matched.template.priority,
            key: keyed,
            residency: matched.template.regions,
            at_most_once: once,
            claim: claimed,
            replaces: None,
            previous_upstream: None,
            deadline: now.after(wait),
            max_cost: bound,
            output_limit: output,
            reserved: Tokens::ZERO,
            stage: Stage::Reserving,
            rejections: 0,
            resumes: 0,
            usage: None,
            parts: Vec::new(),
            answer_bytes: 0,
            listeners: vec![Listener { request, next_part: 0 }],
            followers: std::collections::BTreeMap::new(),
        })
    }

    fn check_accepting(&self, now: Time) -> Result<(), Refusal> {
        let members = self.state.membership();
        let is_stopped = members
            .stopping_since
            .is_some_and(|since| now.since(since) >= self.config.directory_ttl);
        if is_stopped || members.removed {
            return Err(Refusal::not_run(Cause::Stopping).with_retry_after(OTHER_VM_RETRY_AFTER));
        }
        if !members.is_member() {
            return Err(Refusal::not_run(Cause::NotReady).with_retry_after(OTHER_VM_RETRY_AFTER));
        }
        Ok(())
    }

    fn find_template(&self, arrival: &IncomingRequest) -> Result<MatchedTemplate, Refusal> {
        let templates = self.state.templates();
        if templates.version.0 == 0 {
            return Err(Refusal::not_run(Cause::NotReady).with_retry_after(OTHER_VM_RETRY_AFTER));
        }
        let unknown = Refusal::not_run(Cause::UnknownCaller);
        let found = find_budget(&templates, &arrival.secret_digest).ok_or(unknown)?;
        let template = templates.account_of(&found.0).ok_or(unknown)?.clone();
        let account = account_name(&found.0).parse().map_err(|_| unknown)?;
        Ok(MatchedTemplate { account, budget: found.0, period: found.1, template })
    }

    /// Attaches a request to an existing run with the same key, or starts a new run.
    fn join_or_start(&self, now: Time, request: RequestId, run: Run, out: &mut Outbox) {
        let (id, is_new) = {
            let mut runs = self.state.runs();
            let same = run.key.as_ref().and_then(|k| runs.find_by_key(k.key));
            match same {
                Some(id) => {
                    runs.add_listener(id, request);
                    (id, false)
                }
                None => (runs.add(run, request), true),
            }
        };
        if !is_new {
            self.deliver(id, out);
            return;
        }
        self.start(now, id, out);
    }
}

fn find_budget(templates: &TemplateSet, secret: &KeyDigest) -> Option<(BudgetId, Period)> {
    // Compares digests, so that the comparison time reveals nothing about the secret.
    let found = templates.budgets.iter().find(|(_, b)| b.keys.contains(secret))?;
    Some((found.0.clone(), found.1.period))
}

fn run_key(key: &str, matched: &MatchedTemplate) -> RunKey {
    let prefix = key.strip_prefix(HOME_REGION_PREFIX).and_then(|rest| rest.split_once(':'));
    let home = prefix.and_then(|(region, _)| region.parse().ok());
    let home = home.or_else(|| matched.template.home.clone());
    RunKey { key: RequestKey::new(&matched.budget, key), home }
}

fn is_unrepeatable(template: &AccountTemplate, work: &Work) -> bool {
    let Work::Call(call) = work else {
        return false;
    };
    let path = format!("{}/{}", call.service, call.path.trim_start_matches('/'));
    template.unrepeatable.iter().any(|prefix| path.starts_with(prefix.as_str()))
}

fn is_allowed(template: &AccountTemplate, work: &Work) -> bool {
    match work {
        Work::Chat(chat) => {
            let adapter = chat.adapter.as_ref().is_none_or(|a| template.adapters.contains(a));
            adapter && template.models.contains(&chat.model)
        }
        Work::Call(call) => template.services.contains(&call.service),
    }
}

/// Returns the maximum cost of a request and its output limit.
fn max_cost(template: &AccountTemplate, work: &Work) -> Result<(Tokens, Tokens), Refusal> {
    let Work::Chat(chat) = work else {
        return Ok((template.call_cost, Tokens::ZERO));
    };
    let bad = Refusal::not_run(Cause::BadOutput);
    let output = chat.output_limit.unwrap_or(template.output_limit);
    if output.is_zero() || output > MAX_OUTPUT_TOKENS {
        return Err(bad);
    }
    let bound = chat.prompt_tokens.checked_add(output).ok_or(bad)?;
    Ok((bound, output))
}
