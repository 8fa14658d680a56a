//! Guards against changes of the prefix keys, since routers of different versions share one catalog. The expected keys
//! are those that routers of version 5 send in `PrefixLookup` and `PrefixRegistration`, computed by a separate program
//! from commit 0f675d7.
use crate::{parse_prompt_prefix, prefix_keys, PromptSegment};

/// The 64-bit hash of `system-prompt`, an id that is not hexadecimal.
const SYSTEM_PROMPT: u64 = 0x2609_5d02_b8e3_3a47;

#[test]
fn prefix_keys_match_those_of_version_5() {
    let segments = parse_prompt_prefix("a1:128, system-prompt:64").expect("valid header value");
    assert_eq!(segments, [PromptSegment { id: 0xa1, tokens: 128 }, PromptSegment { id: SYSTEM_PROMPT, tokens: 64 }]);
    assert_eq!(prefix_keys(7, &segments), [0x95b3_4fb4_dc2f_dc55, 0x3165_ff74_b358_c1fb]);
}
