package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stored times outlast a process right, whatever the wall clock does meanwhile. */
class SteadyTimeTest {
    private static final long S = 1_000 * Clock.MILLISECOND_NS;
    private static final long HOUR_MS = 3_600_000;

    /** A machine's clocks: all processes of a boot share the monotonic one. */
    private static final class Machine {
        long monotonicNs = 500 * S;
        long wallMs = 1_800_000_000_000L;
        String bootId = "boot-1";

        void pass(long ns) {
            monotonicNs += ns;
            wallMs += ns / Clock.MILLISECOND_NS;
        }

        void reboot() {
            bootId = "boot-2";
            monotonicNs = 20 * S;
        }

        /** The clock of a new process. */
        Clock clock() {
            return new Clock() {
                @Override
                public long now() {
                    return monotonicNs;
                }

                @Override
                public long wallMs() {
                    return wallMs;
                }

                @Override
                public String bootId() {
                    return bootId;
                }
            };
        }
    }

    @TempDir
    Path folder;

    private final Machine machine = new Machine();

    private Journal open() throws IOException {
        return new Journal(folder, 1_000_000, machine.clock());
    }

    private static ActiveRequest.Message message(String id, long deadline) {
        return new ActiveRequest.Message(id, (byte) 0, 0, 0, 1, deadline, deadline, false, true, "", new byte[10]);
    }

    private ActiveRequest onlyUnfinished(Journal journal) {
        return journal.unfinished(Set.of()).get(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS, 5_000, -5_000})
    void aStepAcrossARestartMovesNoDeadline(long stepMs) throws IOException {
        Journal journal = open();
        long deadline = machine.monotonicNs + 20 * S;
        journal.accepted(message("m", deadline));
        journal.attemptBegins("m");
        journal.close();
        machine.pass(2 * S);
        machine.wallMs += stepMs;
        ActiveRequest request = onlyUnfinished(open());
        assertEquals(deadline, request.message.deadline());
        assertEquals(machine.monotonicNs - 2 * S, request.deduplicatedUntil);
    }

    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS})
    void aStepWithinAProcessForgetsNoOutcomeAndKeepsNoneTooLong(long stepMs) throws IOException {
        Journal journal = open();
        ActiveRequest.Message message = message("m", machine.monotonicNs + 20 * S);
        journal.accepted(message);
        journal.completed(message, FinalOutcome.DELIVERED, true);
        machine.wallMs += stepMs;
        journal.keySchemes(); // sweeps
        assertTrue(journal.outcome("m").isPresent());
        machine.pass(21 * S);
        journal.keySchemes();
        assertFalse(journal.outcome("m").isPresent());
    }

    /** Several processes and compactions of one boot count by one clock. */
    @Test
    void theClockGoesOnFromProcessToProcess() throws IOException {
        Journal journal = open();
        long deadline = machine.monotonicNs + 100 * S;
        journal.accepted(message("m", deadline));
        for (int i = 0; i < 3; i++) {
            journal.close();
            machine.wallMs += HOUR_MS;
            machine.pass(S);
            journal = open();
            journal.suspend();
            journal.resume(); // rewrites the file
        }
        assertEquals(deadline, onlyUnfinished(journal).message.deadline());
    }

    /** After a reboot the monotonic clock has begun anew: the wall clock is all there is. */
    @Test
    void aRebootFallsBackOnTheWallClock() throws IOException {
        Journal journal = open();
        journal.accepted(message("m", machine.monotonicNs + 20 * S));
        journal.close();
        machine.pass(8 * S);
        machine.reboot();
        assertEquals(
                machine.monotonicNs + 12 * S, onlyUnfinished(open()).message.deadline());
        machine.pass(S);
        machine.wallMs -= HOUR_MS;
        assertEquals(
                machine.monotonicNs + 11 * S, onlyUnfinished(open()).message.deadline());
    }

    /** A monotonic clock that runs behind what was stored is another one, whatever the boot's id says. */
    @Test
    void aMonotonicClockThatRanBackIsNotBelieved() throws IOException {
        Journal journal = open();
        journal.accepted(message("m", machine.monotonicNs + 20 * S));
        journal.close();
        machine.pass(3 * S);
        machine.monotonicNs = S;
        assertEquals(18 * S, onlyUnfinished(open()).message.deadline());
    }

    /** What a step did to a stored time before the clock was kept holds no request beyond its class's time. */
    @Test
    void noRequestIsHeldLongerThanItsClassAllows() throws IOException {
        long latest = machine.monotonicNs + 9 * S;
        ActiveRequest late = new ActiveRequest(message("m", machine.monotonicNs + HOUR_MS * Clock.MILLISECOND_NS));
        late.attempts = 2;
        late.mayHaveRun = true;
        ActiveRequest bounded = late.withDeadlineUntil(latest);
        assertEquals(latest, bounded.message.deadline());
        assertEquals(2, bounded.attempts);
        assertTrue(bounded.mayHaveRun);
        assertEquals(bounded, bounded.withDeadlineUntil(latest + S));
    }
}
