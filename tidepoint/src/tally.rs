//! The `tally` command.

use crate::error::CommandError;
use crate::flags::TallyCmd;
use crate::http_client;

/// Shows or lists tallies, or adds to one, and prints the response. A failed add can be retried with the same key.
pub fn run(command: &TallyCmd) -> Result<(), CommandError> {
    match command {
        TallyCmd::Get(get) => http_client::get_and_print(&get.at, &format!("/tallies/{}", get.name)),
        TallyCmd::List(list) => http_client::get_and_print(&list.at, "/tallies"),
        TallyCmd::Room(room) => http_client::get_and_print(&room.at, "/tally_usage"),
        TallyCmd::Add(add) => {
            let body = serde_json::json!({"instance_id": add.key, "actor": add.amount}).to_string();
            let url = format!("http://{}/tallies/{}", add.at, add.name);
            println!("{}", http_client::send(|client| client.post(url).body(body))?);
            Ok(())
        }
    }
}
