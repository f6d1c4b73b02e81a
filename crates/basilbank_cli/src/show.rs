//! `status`, `explain` and the lists.

use serde_json::Value;

use crate::{
    admin::Admin,
    args::{Format, List, Options},
    failure::{Failure, Status},
    shell::Shell,
    table::{Flat, render_list, render_object},
};

/// Shows a list.
pub fn list(shell: &mut Shell<'_>, options: &Options, list: List) -> Result<Status, Failure> {
    let answer = Admin::new(options)?.get(list.name(), list.name())?;
    match options.format {
        Format::Json => write_json(shell, &answer)?,
        Format::Table => shell.out.write_all(render_list(&items(&answer)?).as_bytes())?,
    }
    Ok(Status::Ok)
}

/// Shows the daemon's state.
pub fn status(shell: &mut Shell<'_>, options: &Options) -> Result<Status, Failure> {
    let answer = Admin::new(options)?.get("status", "status")?;
    write_object(shell, options, &answer)
}

/// Tells what became of a request.
pub fn explain(shell: &mut Shell<'_>, options: &Options, request: &str) -> Result<Status, Failure> {
    // The id becomes part of a path.
    if request.is_empty() || !request.chars().all(|c| c.is_ascii_alphanumeric()) {
        return Err(Failure::Usage(format!("{request:?} is not a request's id")));
    }
    let what = format!("request {request}");
    let answer = Admin::new(options)?.get(&format!("requests/{request}"), &what)?;
    write_object(shell, options, &answer)
}

/// The objects of a list answer.
///
/// # Errors
///
/// The answer is something else.
pub fn items(answer: &Value) -> Result<Vec<Flat>, Failure> {
    let list = answer.get("items").and_then(Value::as_array);
    let objects: Option<Vec<Flat>> =
        list.and_then(|list| list.iter().map(|item| item.as_object().cloned()).collect());
    objects.ok_or_else(|| Failure::Unreachable("the daemon's answer is not a list".to_owned()))
}

/// Prints an answer as JSON.
pub fn write_json(shell: &mut Shell<'_>, answer: &Value) -> Result<(), Failure> {
    Ok(writeln!(shell.out, "{answer:#}")?)
}

fn write_object(
    shell: &mut Shell<'_>,
    options: &Options,
    answer: &Value,
) -> Result<Status, Failure> {
    let Some(object) = answer.as_object() else {
        return Err(Failure::Unreachable("the daemon's answer is not an object".to_owned()));
    };
    match options.format {
        Format::Json => write_json(shell, answer)?,
        Format::Table => shell.out.write_all(render_object(object).as_bytes())?,
    }
    Ok(Status::Ok)
}
