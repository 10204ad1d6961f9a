/**
 * Experiments on the emulator: single runs ({@link elderseam.testkit.lab.ExperimentRun}), sweeps over parameters and seeds on several
 * threads, paired comparisons with confidence intervals, and the search for the scenario in which a policy does worst. Results are
 * written as JSON Lines, CSV and one HTML page.
 *
 * <p>A run is single-threaded and deterministic. The package depends on the emulator, never the other way round; its files are those of
 * the results' folder.
 */
package elderseam.testkit.lab;
