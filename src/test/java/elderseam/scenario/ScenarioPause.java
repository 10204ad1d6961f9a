package elderseam.scenario;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Stops the program from just before one step of a script for a set time, while the steps go on; so a run shows what a stall at that
 * moment does. Set by the system properties {@code scenario.pauseStep} and {@code scenario.pauseMs}.
 *
 * @param step counted from 1 over all scripts of a scenario; 0 for none
 */
record ScenarioPause(int step, long durationMs) {
    /** As the system properties say, or none. */
    static ScenarioPause fromSystemProperties() {
        return new ScenarioPause(Integer.getInteger("scenario.pauseStep", 0), Long.getLong("scenario.pauseMs", 0));
    }

    /** Stops the program if that step is next. */
    void beforeStep(int nextStep, DispatcherProcess program, ScenarioTimeline timeline)
            throws IOException, InterruptedException {
        if (nextStep != step || !program.isAlive() || program.isPausedByScript()) {
            return;
        }
        program.pause();
        timeline.record("pause", "begins");
        CompletableFuture.delayedExecutor(durationMs, TimeUnit.MILLISECONDS).execute(() -> resume(program, timeline));
    }

    private static void resume(DispatcherProcess program, ScenarioTimeline timeline) {
        if (program.isPausedByScript()) {
            return;
        }
        try {
            timeline.record("pause", "ends");
            program.signal("CONT");
        } catch (IOException | InterruptedException e) {
            timeline.record("pause", "could not be ended: " + e);
        }
    }
}
