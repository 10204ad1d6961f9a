package elderseam.testkit.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimulatorHostTest {
    /** Starts one dispatcher and gives it a list of one endpoint. */
    private static final String FIRST_BATCH = "TURN 1000 1\n"
            + "ENLIST courier/0 5 extra.callSlots=4 limits.mostHeld=50 "
            + "limits.maxAttempts=3 services.count=1 services.0.effect=repeatable services.0.targetNs=1000000000 "
            + "services.0.giveUpNs=5000000000 replicasOfMe=1 some.other=key flavors=x\n"
            + "MANIFEST 2 1\n"
            + "ROW - 10.0.0.1:80 2 7 0 1 0\n"
            + "UPDATE courier/0 2 2 1\n"
            + "FLUSH\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private String run(String input) throws IOException {
        new SimulatorHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output).run();
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void aRequestIsForwarded() throws IOException {
        String reply =
                run(FIRST_BATCH + "TURN 2000 2\nSUBMIT courier/0 00000000000000aa 0 0 - 5000002000 0 7 0\nFLUSH\n");
        assertTrue(reply.startsWith("OK 1\nFORWARD courier/0 00000000000000aa 10.0.0.1:80 5000002000\n"), reply);
        assertTrue(reply.endsWith("OK 2\n"), reply);
    }

    @Test
    void malformedLinesNameLineAndFault() {
        assertRejected("TURN x 1\n", "line 1: bad clock 'x'");
        assertRejected("HELLO\n", "line 1: expected TURN");
        assertRejected("TURN 1 1\nLAPSED courier/9 aa\nFLUSH\n", "line 2: unknown instance courier/9");
        assertRejected("TURN 1 1\nFLUSH now\n", "line 2: unexpected 'now'");
        assertRejected("TURN 1 1\n", "line 2: input ended inside a batch");
        assertRejected(FIRST_BATCH + "TURN 2 2\nUPDATE courier/0 9 1 1\nFLUSH\n", "line 8: no list in slot 9");
        assertRejected(FIRST_BATCH + "TURN 2 2\nSING courier/0\nFLUSH\n", "line 8: unknown event SING");
        assertRejected(FIRST_BATCH + "TURN 2 2\nLAPSED courier/0\nFLUSH\n", "line 8: missing corr");
    }

    private void assertRejected(String input, String expectedMessage) {
        output.reset();
        WireException rejection = assertThrows(WireException.class, () -> run(input));
        assertEquals(expectedMessage, rejection.getMessage());
        assertTrue(!output.toString(StandardCharsets.UTF_8).contains("OK 2"), "no partial reply");
    }

    @Test
    void aFaultOfAPolicyIsReportedForItsDispatcher() throws IOException {
        String reply = run("TURN 1 1\nENLIST courier/0 5 services.count=0\nFLUSH\n");
        assertTrue(reply.startsWith("BROKEN courier/0 java.lang.IllegalArgumentException: setting classes"), reply);
        assertTrue(reply.endsWith("OK 1\n"), reply);
    }
}
