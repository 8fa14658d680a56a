//! Keys of prompts as routers of version 5 send them to the catalog (`PrefixLookup` and `PrefixRegistration`), worked out by
//! another program from commit 0f675d7: routers of different versions share one catalog.
use crate::{parse_prompt_prefix, prefix_keys, PromptSegment};

/// The 64-bit hash of `system-prompt`, an id that is not a number in hexadecimal digits.
const SYSTEM_PROMPT: u64 = 0x2609_5d02_b8e3_3a47;

#[test]
fn the_keys_of_prefixes_stay_what_they_are() {
    let read = parse_prompt_prefix("a1:128, system-prompt:64").expect("as published");
    assert_eq!(read, [PromptSegment { id: 0xa1, tokens: 128 }, PromptSegment { id: SYSTEM_PROMPT, tokens: 64 }]);
    assert_eq!(prefix_keys(7, &read), [0x95b3_4fb4_dc2f_dc55, 0x3165_ff74_b358_c1fb]);
}
