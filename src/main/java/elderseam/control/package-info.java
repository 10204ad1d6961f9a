/**
 * The second address, on which operators speak to one dispatcher: a line a connection, decoded once into a typed command. Knows the
 * I/O thread for its sockets, and the core; what a command sets off in the rest of the program is handed in by the wiring.
 */
package elderseam.control;
