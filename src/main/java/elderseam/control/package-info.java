/**
 * The control address, on which operators command one dispatcher: one line of text per connection. {@link
 * elderseam.control.ControlServer} reads the lines and writes the responses on the I/O thread, {@link
 * elderseam.control.OperatorCommandParser} decodes a line into an {@link elderseam.control.OperatorCommand}, and {@link
 * elderseam.control.OperatorCommands} executes it. What a command starts in other packages is passed in as functions.
 */
package elderseam.control;
