//! Writes the entries that the core logs, and updates the tables outside the core that depend on
//! them.

use badgerfield_core::amount::Time;
use badgerfield_core::event::LogEntry;
use badgerfield_core::template_arrival::TemplateArrival;

use super::Driver;
use crate::logs::{NODE, PLATFORM, REQUESTS};

impl Driver {
    /// Writes an entry to the log and updates the tables outside the core that depend on it.
    pub(super) fn handle_log_entry(&self, entry: &LogEntry) {
        match entry {
            LogEntry::View(epoch) => {
                log::info!(target: NODE, "view {epoch} in force");
                let view = self.node.view();
                self.peers.retain_peers(|id| view.has_member(id));
                self.update_warm_up_senders();
            }
            LogEntry::Templates(_)
            | LogEntry::TemplatesMissing(_)
            | LogEntry::TemplatesDiffered(_)
            | LogEntry::BadTemplates(_)
            | LogEntry::OperatorsLost
            | LogEntry::OperatorsRegained(_) => self.handle_operator_entry(entry),
            LogEntry::StreamsNotWritten(count) => {
                log::warn!(target: NODE, "streams not written to the store count={count}");
            }
            LogEntry::BadValue(key, error) => {
                log::error!(target: PLATFORM, "invalid value of {key:?}: {error}");
            }
            LogEntry::RemovesMember { member, vm, silence, epoch } => log::warn!(
                target: NODE,
                "removes member={member} vm={vm} silent_ms={} view={epoch}",
                silence.as_millis()
            ),
            LogEntry::Condition(report) => log::info!(
                target: NODE,
                "reports member={} condition={}",
                report.member,
                report.condition.as_str()
            ),
            LogEntry::Removed => log::error!(target: NODE, "removed from view; exits when idle"),
            LogEntry::LedgerApplied {
                budget,
                limit,
                granted,
                remaining: left,
                held,
                sealed,
                promised,
                reserved,
                in_transit: moving,
                took,
                plan,
                rate,
            } => log::info!(
                target: NODE,
                "drawn budget={budget} limit={limit} granted={granted} left={left} held={held} \
                 sealed={sealed} promised={promised} reserved={reserved} moving={moving} \
                 took_ms={} plan={plan} rate={rate}",
                took.as_millis()
            ),
            LogEntry::Prefetched {
                budget,
                free,
                reserved,
                in_transit: moving,
                waiting,
                rate,
                answer_time,
            } => log::info!(
                target: NODE,
                "at hand budget={budget} free={free} reserved={reserved} moving={moving} \
                 waiting={waiting} rate={rate} answer_ms={}",
                answer_time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
            ),
            LogEntry::Lending { epoch, held, borrowed } => {
                log::info!(target: NODE, "lending view={epoch} held={held} borrowed={borrowed}");
            }
            LogEntry::ParkedReturned { budget, holder, amount, epoch } => log::warn!(
                target: NODE,
                "untouched budget={budget} holder={holder} amount={amount} view={epoch}: \
                 returned for a removed holder"
            ),
            LogEntry::LenderSilent { budget, lender } => {
                log::warn!(target: NODE, "lender silent budget={budget} lender={lender}");
            }
            LogEntry::Crash { crash, blocks, from } => {
                let from = from.map_or_else(|| "-".to_owned(), |id| id.to_string());
                log::warn!(
                    target: REQUESTS,
                    "crash fingerprint={} upstream={} life={} evidence={} point={} cleared={} \
                     age_ms={} blocks={blocks} from={from}",
                    crash.request,
                    crash.upstream,
                    crash.prior_crashes,
                    crash.evidence.as_str(),
                    crash.events_sent,
                    crash.cleared,
                    crash.age.as_millis()
                );
            }
            LogEntry::Rollout(entry) => log::info!(target: NODE, "{entry}"),
            LogEntry::BudgetRenewed(budget) => log::info!(target: NODE, "budget {budget} renewed"),
        }
    }

    /// Writes an entry about operators' values.
    fn handle_operator_entry(&self, entry: &LogEntry) {
        match entry {
            LogEntry::Templates(arrival) => self.handle_new_templates(arrival),
            LogEntry::TemplatesDiffered(version) => {
                log::error!(target: NODE, "templates {version} differed from the store, replaced");
            }
            LogEntry::TemplatesMissing(status) => {
                log::warn!(target: NODE, "templates missing {status}");
            }
            LogEntry::OperatorsLost => log::info!(target: PLATFORM, "operators' values not read"),
            LogEntry::OperatorsRegained(away) => log::info!(
                target: PLATFORM,
                "operators' values read again away_ms={}",
                away.as_millis()
            ),
            LogEntry::BadTemplates(error) => {
                self.metrics.bad_templates.inc();
                log::error!(target: NODE, "templates are invalid, the previous templates stay in force: {error}");
            }
            _ => {}
        }
    }

    /// Routes requests by newer templates, and logs how they arrived.
    fn handle_new_templates(&self, arrival: &TemplateArrival) {
        if let Some(gateway) = &self.gateway {
            let (version, table) = self.node.route_table();
            gateway.update_routes(version, table);
            self.update_warm_ups();
        }
        self.metrics.template_delay.observe(arrival.delay.as_secs_f64());
        let TemplateArrival { version, source, delay, fetches, unapplied } = arrival;
        log::info!(
            target: NODE,
            "templates {version} in force from={source} delay_ms={} fetches={fetches} \
             unapplied={unapplied} up_ms={}",
            delay.as_millis(),
            self.now().since(Time::default()).as_millis()
        );
    }
}
