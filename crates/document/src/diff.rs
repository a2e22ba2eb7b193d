//! Differences between two documents of one environment.

use std::collections::HashMap;
use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use caraway_core::finding::Report;
use caraway_core::name;

use crate::errors::Result;
use crate::plan::Group;
use crate::plan::Plan;
use crate::schema::Document;

/// Kind of the changed item.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A failure domain.
    FailureDomain,
    /// A tenant.
    Tenant,
    /// A call class.
    Class,
    /// A service, without its targets.
    Service,
    /// A target.
    Target,
    /// A route, identified by method and prefix.
    Route,
    /// The limits of the data path.
    Limits,
}

impl Subject {
    /// Returns the name of the subject in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FailureDomain => "failure domain",
            Self::Tenant => "tenant",
            Self::Class => "class",
            Self::Service => "service",
            Self::Target => "target",
            Self::Route => "route",
            Self::Limits => "limits",
        }
    }
}

/// A change between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Kind of the changed item.
    pub subject: Subject,
    /// Name of the changed item.
    pub name: String,
    /// Changed field; absent if the whole item was added or removed.
    pub field: Option<String>,
    /// Value in the old document; absent for an addition.
    pub from: Option<Value>,
    /// Value in the new document; absent for a removal.
    pub to: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = self.subject.as_str();
        let name = &self.name;
        match (&self.field, &self.from, &self.to) {
            (Some(field), from, to) => {
                write!(f, "~ {subject} {name}: {field} {} -> {}", text(from), text(to))
            }
            (None, None, to) => write!(f, "+ {subject} {name} {}", text(to)),
            (None, from, _) => write!(f, "- {subject} {name} {}", text(from)),
        }
    }
}

fn text(value: &Option<Value>) -> String {
    value.as_ref().map_or_else(|| "(absent)".into(), Value::to_string)
}

/// A range of shards that would move to another group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Move {
    /// Service of the shards.
    pub service: name::Service,
    /// First shard of the range.
    pub first: u32,
    /// Last shard of the range, inclusive.
    pub last: u32,
    /// Group in the old document.
    pub from: name::Group,
    /// Group in the new document.
    pub to: name::Group,
}

/// All differences between two documents.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Diff {
    /// Changes, in the order of the document's fields.
    pub changes: Vec<Change>,
    /// Shards of services in both documents that would move between groups.
    pub moves: Vec<Move>,
    /// Reasons why the new document must not replace the old one.
    pub findings: Report,
}

/// Alternatives to a move of shards, for a service without an explicit placement.
const ALLOWED_WITHOUT_PLACEMENT: &str = "the placement in force written out (caraway-ctl placement), targets in the \
                        same proportion for each group, or a service of a new name";

/// Compares two documents.
///
/// # Errors
///
/// One of the documents has findings of its own.
pub fn compare(old: &Document, new: &Document) -> Result<Diff> {
    let old_plan = Plan::try_new(old, 0)?;
    let new_plan = Plan::try_new(new, 0)?;
    let mut diff = Diff::default();
    if old.environment != new.environment {
        let problem = format!("the environment changes from {:?}", old.environment);
        diff.findings.add("/environment", &problem, &old.environment);
    }
    let before = items_by_subject(old);
    let after = items_by_subject(new);
    for ((subject, before), (_, after)) in before.iter().zip(&after) {
        compare_items(*subject, before, after, &mut diff.changes);
    }
    for (position, service) in new.services.iter().enumerate() {
        let Some(previous) = old.services.iter().find(|previous| previous.name == service.name)
        else {
            continue;
        };
        let place = format!("/services/{position}");
        if previous.division != service.division {
            let problem = "the division of an existing service changes";
            diff.findings.add(&format!("{place}/division"), problem, "a service of a new name");
        }
        if previous.shard_count() != service.shard_count() {
            let problem = format!(
                "the number of shards changes from {}, so that keys move between shards",
                previous.shard_count()
            );
            let allowed = previous.shard_count().to_string();
            diff.findings.add(&format!("{place}/shards"), &problem, &allowed);
            continue;
        }
        let moves = find_moves(&old_plan, &new_plan, &service.name);
        for step in &moves {
            let problem = format!(
                "shards {} to {} of {} would move from group {} to group {}",
                step.first, step.last, step.service, step.from, step.to
            );
            let (field, allowed) = match service.placement {
                Some(_) => ("placement", "the placement in force, or a service of a new name"),
                None => ("targets", ALLOWED_WITHOUT_PLACEMENT),
            };
            diff.findings.add(&format!("{place}/{field}"), &problem, allowed);
        }
        diff.moves.extend(moves);
    }
    check_group_changes(&old_plan, &new_plan, new, &mut diff.findings);
    Ok(diff)
}

/// Reports targets that would change their group.
///
/// A target compares the fencing tokens of all senders. The terms of two groups are not comparable,
/// so the target could reject the grants of its new group as stale indefinitely.
fn check_group_changes(old: &Plan, new: &Plan, document: &Document, findings: &mut Report) {
    let before = groups_by_target(old);
    let after = groups_by_target(new);
    for (position, service) in document.services.iter().enumerate() {
        for (index, target) in service.targets.iter().enumerate() {
            let (Some(from), Some(to)) = (before.get(&target.name), after.get(&target.name)) else {
                continue;
            };
            if from != to {
                let problem =
                    format!("target {} would move from group {from} to {to}", target.name);
                let place = format!("/services/{position}/targets/{index}");
                findings.add(&place, &problem, "the same group, or a target of a new name");
            }
        }
    }
}

/// Returns the group of each target.
fn groups_by_target(plan: &Plan) -> HashMap<&name::Target, &name::Group> {
    let mut names = HashMap::new();
    for group in &plan.groups {
        names.extend(group.targets.iter().map(|target| (&target.name, &group.name)));
    }
    names
}

/// Items of one kind with their names, in document order.
type Items = Vec<(String, Value)>;

fn items_by_subject(document: &Document) -> Vec<(Subject, Items)> {
    let name_item = |name: &str| (name.to_owned(), Value::String(name.to_owned()));
    let services = document.services.iter().map(|service| {
        let mut value = json(service);
        if let Some(value) = value.as_object_mut() {
            value.remove("targets");
        }
        (service.name.to_string(), value)
    });
    let targets = document.services.iter().flat_map(|service| {
        service.targets.iter().map(|target| {
            let mut value = json(target);
            if let Some(value) = value.as_object_mut() {
                value.insert("service".into(), service.name.as_str().into());
            }
            (target.name.to_string(), value)
        })
    });
    let routes = document
        .routes
        .iter()
        .map(|route| (format!("{} {}", route.method, route.prefix), json(route)));
    let classes = document.classes.iter().map(|class| (class.name.to_string(), json(class)));
    let domains = document.failure_domains.iter().map(|domain| name_item(domain.as_str()));
    let tenants = document.tenants.iter().map(|tenant| name_item(tenant.as_str()));
    vec![
        (Subject::FailureDomain, domains.collect()),
        (Subject::Tenant, tenants.collect()),
        (Subject::Class, classes.collect()),
        (Subject::Service, services.collect()),
        (Subject::Target, targets.collect()),
        (Subject::Route, routes.collect()),
        (Subject::Limits, vec![("data path".to_owned(), json(&document.limits))]),
    ]
}

fn json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).unwrap_or(Value::Null)
}

fn compare_items(subject: Subject, before: &Items, after: &Items, changes: &mut Vec<Change>) {
    let old: HashMap<&str, &Value> = before.iter().map(|(name, value)| (&**name, value)).collect();
    let new: HashMap<&str, &Value> = after.iter().map(|(name, value)| (&**name, value)).collect();
    let change =
        |name: &str, field: Option<&str>, from: Option<&Value>, to: Option<&Value>| Change {
            subject,
            name: name.to_owned(),
            field: field.map(str::to_owned),
            from: from.cloned(),
            to: to.cloned(),
        };
    for (name, value) in before.iter().filter(|(name, _)| !new.contains_key(&**name)) {
        changes.push(change(name, None, Some(value), None));
    }
    for (name, value) in after {
        let Some(previous) = old.get(&**name) else {
            changes.push(change(name, None, None, Some(value)));
            continue;
        };
        for (field, from, to) in changed_fields(previous, value) {
            changes.push(change(name, Some(field), from, to));
        }
    }
}

/// Name of a changed field, with its old and its new value.
type Difference<'a> = (&'a str, Option<&'a Value>, Option<&'a Value>);

/// Returns the fields that differ between two objects.
fn changed_fields<'a>(old: &'a Value, new: &'a Value) -> Vec<Difference<'a>> {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return Vec::new() };
    let names = old.keys().chain(new.keys().filter(|name| !Map::contains_key(old, name.as_str())));
    names
        .map(|name| (name.as_str(), old.get(name), new.get(name)))
        .filter(|(_, from, to)| from != to)
        .collect()
}

/// Returns the shard ranges of a service that belong to different groups in the two plans, in shard
/// order.
///
/// Both plans divide the same number of shards into contiguous ranges, so the ranges of two groups
/// overlap in at most one range.
fn find_moves(old: &Plan, new: &Plan, service: &name::Service) -> Vec<Move> {
    let mut moves = Vec::new();
    for from in service_groups(old, service) {
        for to in service_groups(new, service).filter(|to| to.name != from.name) {
            let start = from.shards.start.max(to.shards.start);
            let end = from.shards.end.min(to.shards.end);
            if start < end {
                moves.push(Move {
                    service: service.clone(),
                    first: start,
                    last: end - 1,
                    from: from.name.clone(),
                    to: to.name.clone(),
                });
            }
        }
    }
    moves.sort_by_key(|step| step.first);
    moves
}

fn service_groups<'a>(plan: &'a Plan, service: &name::Service) -> impl Iterator<Item = &'a Group> {
    plan.groups.iter().map(|group| &**group).filter(move |group| group.service.name == *service)
}
