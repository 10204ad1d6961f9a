/**
 * Experiments on the emulator: single runs, sweeps over parameters and seeds on all cores, comparisons with their confidence, the
 * search for a policy's worst day; results as JSON Lines, CSV and one HTML page. Knows the emulator; does I/O on its results' folder.
 */
package elderseam.testkit.lab;
