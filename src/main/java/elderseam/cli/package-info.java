/**
 * The command line, on picocli: names, options, help, exit codes. Knows the settings and nothing of the network; what a
 * command starts is handed in by the wiring. The lines of the deploy file do not pass through here.
 */
package elderseam.cli;
