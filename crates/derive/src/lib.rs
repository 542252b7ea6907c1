/*!
Attribute macro for the common sets of derives of this workspace.

```
use wasabiswitch_derive::derives;

#[derives(value)]
pub struct Slots(u32);

#[derives(record)]
pub struct Grant {
    slots: u32,
}

let grant = Grant { slots: 3 };
assert_eq!(grant.clone(), grant);
assert!(Slots(1) < Slots(2));
```

The sets are `value` for small copyable types, `record` for plain data, and `message` for data that
crosses a process boundary through serde. A type that needs further traits adds a `derive` attribute.
*/

use proc_macro::TokenStream;

/// Derives of small copyable types, which may be compared, ordered and used as map keys.
const VALUE: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]";

/// Derives of plain data inside one process.
const RECORD: &str = "#[derive(Clone, Debug, PartialEq)]";

/// Derives of data that crosses a process boundary.
const MESSAGE: &str =
    "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";

/// Adds one of the common sets of derives, so that all types of a kind implement the same traits.
///
/// The argument is `value`, `record` or `message`; anything else is a compile error.
#[proc_macro_attribute]
pub fn derives(set: TokenStream, item: TokenStream) -> TokenStream {
    let attribute = match set.to_string().as_str() {
        "value" => VALUE,
        "record" => RECORD,
        "message" => MESSAGE,
        _ => {
            return "compile_error!(\"expected one of: value, record, message\");".parse().unwrap();
        }
    };
    let mut output: TokenStream = attribute.parse().expect("the attribute text is valid Rust");
    output.extend(item);
    output
}
