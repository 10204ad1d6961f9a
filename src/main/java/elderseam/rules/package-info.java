/**
 * The operator's rules: files read and checked whole, tables of rules decided request by request, routes, keys and limits. A
 * {@code Rulebook} is what one reading of the files came to; it decides on an {@code Arrival} and does no I/O and reads no clock.
 * Knows the language, the settings' faults and the core's {@code Facts}; fronts, sockets and the journal it does not know.
 */
package elderseam.rules;
