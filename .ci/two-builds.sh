#!/usr/bin/env bash
# Daemons of the commit that landed before and of this one serve one deployment (tidepoint/tests/mixed_versions.rs).
# `landed-commit` names that commit; it is moved on with the first commit after a landing.
set -euo pipefail
cd "$(dirname "$0")/.."
landed=$(<.ci/landed-commit)
if ! git cat-file -e "$landed^{commit}" 2>/dev/null; then
  echo "two builds: skipped, the history lacks $landed"
  exit 0
fi
earlier=target/earlier
git worktree remove --force "$earlier" 2>/dev/null || rm -rf "$earlier"
git worktree prune
git worktree add --force --detach "$earlier" "$landed" >/dev/null
trap 'git worktree remove --force "$earlier"' EXIT
cargo build --locked --manifest-path "$earlier/Cargo.toml" --target-dir target/earlier-build -p router -p controller
cargo build --workspace --bins --locked
export TIDEPOINT_EARLIER_BUILD="$PWD/target/earlier-build/debug" TIDEPOINT_PRESENT_BUILD="$PWD/target/debug"
cargo test --locked -p tidepoint --test mixed_versions -- --ignored
