/**
 * The operator's settings file: its form, its keys with their types, ranges and defaults, and what is wrong with it. Holds
 * no I/O but the reading of that file, and knows no other package of the program; what the values mean is their users'
 * concern.
 */
package elderseam.settings;
