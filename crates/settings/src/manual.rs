//! Shell completion and a manual page, written from the help texts that
//! `getopts` makes of the flag tables.

use std::fmt::Write;

/// One subcommand with its help text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandHelp {
    /// Its name.
    pub name: String,
    /// What it does, in a line.
    pub summary: String,
    /// Its help text.
    pub help: String,
}

/// One flag, as its help text shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flag {
    /// Short and long name with dashes, and the word for its value.
    pub form: String,
    /// What it is.
    pub help: String,
}

impl Flag {
    /// The names with dashes, without the value.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let words = self.form.split([' ', ',']);
        words.filter(|word| word.starts_with('-'))
    }
}

/// Largest indentation of a flag in a help text: one without a short name.
const FLAG_INDENT: usize = 8;

fn begins_flag(line: &str) -> bool {
    let form = line.trim_start();
    form.starts_with('-') && (1..=FLAG_INDENT).contains(&(line.len() - form.len()))
}

impl CommandHelp {
    /// The line that shows the usage, without its label.
    #[must_use]
    pub fn usage(&self) -> &str {
        let first = self.help.lines().next().unwrap_or_default();
        first.trim_start_matches("Usage: ")
    }

    /// All flags.
    #[must_use]
    pub fn flags(&self) -> Vec<Flag> {
        let mut flags: Vec<Flag> = Vec::new();
        for line in self.help.lines() {
            if begins_flag(line) {
                flags.push(read_flag(line));
            } else if let Some(flag) = flags.last_mut().filter(|_| line.starts_with("     ")) {
                flag.help.push(' ');
                flag.help.push_str(line.trim());
            }
        }
        for flag in &mut flags {
            flag.help = flag.help.trim().to_owned();
        }
        flags
    }
}

/// Column at which `getopts` begins the help of a flag whose form is shorter;
/// a longer form stands alone on its line.
const HELP_COLUMN: usize = 24;

/// Reads the line `    -c, --config FILE   what it is`.
fn read_flag(line: &str) -> Flag {
    let (form, help) = line.split_at_checked(HELP_COLUMN).unwrap_or((line, ""));
    // A form that ends just before the column has its value's word behind it.
    let word = |text: &str| !text.is_empty() && !text.contains(char::is_lowercase);
    let alone = !form.ends_with(' ') || word(help.trim());
    let (form, help) = if alone { (line, "") } else { (form, help) };
    Flag {
        form: form.trim().to_owned(),
        help: help.trim().to_owned(),
    }
}

/// A completion script for bash.
#[must_use]
pub fn bash_completion(binary: &str, commands: &[CommandHelp]) -> String {
    let function = format!("_{}", binary.replace('-', "_"));
    let names: Vec<&str> = commands.iter().map(|one| one.name.as_str()).collect();
    let mut cases = String::new();
    for command in commands {
        let flags = command.flags();
        let mut names: Vec<&str> = flags.iter().flat_map(Flag::names).collect();
        if !names.contains(&"--help") {
            names.push("--help");
        }
        // Writing into a string does not fail.
        let _ = writeln!(
            cases,
            "        {}) flags=\"{}\" ;;",
            command.name,
            names.join(" ")
        );
    }
    format!(
        r#"# bash completion of {binary}; written by `{binary} completion`
{function}() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" flags=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "{names}" -- "$word"))
        return
    fi
    case "${{COMP_WORDS[1]}}" in
{cases}    esac
    case "$word" in
        -*) COMPREPLY=($(compgen -W "$flags" -- "$word")) ;;
        *) COMPREPLY=($(compgen -f -- "$word")) ;;
    esac
}}
complete -o filenames -F {function} {binary}
"#,
        names = names.join(" "),
    )
}

/// A manual page in `man` form.
#[must_use]
pub fn manual_page(binary: &str, summary: &str, commands: &[CommandHelp]) -> String {
    let title = binary.to_uppercase();
    let mut page = format!(
        ".TH {title} 1\n.SH NAME\n{binary} \\- {}\n",
        escape(summary)
    );
    let _ = write!(
        page,
        ".SH SYNOPSIS\n.B {binary}\nSUBCOMMAND [OPTIONS]\n.SH SUBCOMMANDS\n"
    );
    for command in commands {
        let _ = writeln!(page, ".SS {}", escape(&command.name));
        let _ = writeln!(page, "{}", escape(&command.summary));
        let _ = writeln!(page, ".PP\n{}", escape(command.usage()));
        for flag in command.flags() {
            let (form, help) = (escape(&flag.form), escape(&flag.help));
            let _ = writeln!(page, ".TP\n.B {form}\n{help}");
        }
    }
    page.push_str(".SH EXIT STATUS\n0 after success, 2 for faulty flags, settings and documents, 1 for everything else.\n");
    page
}

/// Text that `man` takes as it is.
fn escape(text: &str) -> String {
    let text = text.replace('\\', "\\e").replace('-', "\\-");
    match text.starts_with(['.', '\'']) {
        true => format!("\\&{text}"),
        false => text,
    }
}
