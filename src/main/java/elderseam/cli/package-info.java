/**
 * The command line, on picocli: {@link elderseam.cli.Commands} is the root, each subcommand a class whose fields are its
 * options and arguments. Commands print through {@link elderseam.cli.CommandBase} and return one of {@link
 * elderseam.cli.ExitCodes}. What holds the process, such as a dispatcher, is started through {@link
 * elderseam.cli.Launcher}. The package is not loaded by a plain {@code serve}: see {@link elderseam.Main}.
 */
package elderseam.cli;
