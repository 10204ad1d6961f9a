/** The entry of the program: {@link elderseam.Main} starts a dispatcher, or the command that its arguments name. */
package elderseam;
