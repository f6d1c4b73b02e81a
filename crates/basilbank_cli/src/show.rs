//! The commands that show an answer of the admin API: `status`, `explain` and the lists.

use serde_json::Value;

use crate::{
    admin::AdminClient,
    args::{Format, List, Options},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    table::{JsonObject, render_list, render_object},
};

/// Shows a list.
pub fn list(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    list: List,
) -> Result<ExitStatus, Failure> {
    let answer = AdminClient::new(options)?.get(list.name(), list.name())?;
    let items = list_items(&answer)?;
    match options.format {
        Format::Json => write_json(ctx, &answer)?,
        Format::Table => ctx.out.write_all(render_list(&items).as_bytes())?,
    }
    Ok(ExitStatus::Ok)
}

/// Shows the state of the daemon.
pub fn status(ctx: &mut CommandContext<'_>, options: &Options) -> Result<ExitStatus, Failure> {
    let answer = AdminClient::new(options)?.get("status", "status")?;
    write_object(ctx, options, &answer)
}

/// Shows the events of a request.
pub fn explain(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    request_id: &str,
) -> Result<ExitStatus, Failure> {
    // The id becomes part of a URL path, so other characters could address another resource.
    if request_id.is_empty() || !request_id.chars().all(|c| c.is_ascii_alphanumeric()) {
        return Err(Failure::Usage(format!("{request_id:?} is not a request's id")));
    }
    let what = format!("request {request_id}");
    let answer = AdminClient::new(options)?.get(&format!("requests/{request_id}"), &what)?;
    write_object(ctx, options, &answer)
}

/// Returns the objects of an answer that is a list.
///
/// # Errors
///
/// Returns an error if the answer is not a list of objects.
pub fn list_items(answer: &Value) -> Result<Vec<JsonObject>, Failure> {
    let list = answer.get("items").and_then(Value::as_array);
    let objects: Option<Vec<JsonObject>> =
        list.and_then(|list| list.iter().map(|item| item.as_object().cloned()).collect());
    objects.ok_or_else(|| Failure::Unreachable("the daemon's answer is not a list".to_owned()))
}

/// Prints an answer as JSON.
pub fn write_json(ctx: &mut CommandContext<'_>, answer: &Value) -> Result<(), Failure> {
    Ok(writeln!(ctx.out, "{answer:#}")?)
}

fn write_object(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    answer: &Value,
) -> Result<ExitStatus, Failure> {
    let Some(object) = answer.as_object() else {
        return Err(Failure::Unreachable("the daemon's answer is not an object".to_owned()));
    };
    match options.format {
        Format::Json => write_json(ctx, answer)?,
        Format::Table => ctx.out.write_all(render_object(object).as_bytes())?,
    }
    Ok(ExitStatus::Ok)
}
