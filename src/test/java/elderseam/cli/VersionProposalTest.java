package elderseam.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Proposals to a member whose responses are given, one per connection. */
class VersionProposalTest {
    private static final String ASKED = "200 asked 0123456789ab; CONFIG tells what becomes of it\n";

    private final StringWriter output = new StringWriter();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private ServerSocket member;

    @BeforeEach
    void listen() throws IOException {
        member = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        member.close();
    }

    private static String status(String ended, String refused) {
        return "200 config\nlatest=3 abcdef012345\nended=" + ended + "\nrefused=" + refused + "\n";
    }

    private int propose(String command, String... responses) throws Exception {
        Thread responder = new Thread(() -> respond(responses), "member");
        responder.setDaemon(true);
        responder.start();
        String address = "127.0.0.1:" + member.getLocalPort();
        ControlClient client = ControlClient.of(new VersionsCommand.Status(), address);
        return new VersionProposal(client, new PrintWriter(output)).propose(command);
    }

    private void respond(String... responses) {
        for (String response : responses) {
            try (Socket client = member.accept()) {
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
                received.add(reader.readLine());
                client.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                received.add(e.toString());
            }
        }
    }

    @Test
    void aProposalIsFollowedUntilItIsCommitted() throws Exception {
        String before = status("3 abcdef012345", "");
        int exitCode = propose(
                "CONFIG PROPOSE PARENT 0123456789ab /a.ini why", before, ASKED, before, status("4 0123456789ab", ""));
        assertEquals(ExitCodes.OK, exitCode);
        assertEquals("version 4 0123456789ab is committed", output.toString().strip());
        assertEquals(List.of("CONFIG", "CONFIG PROPOSE 3 0123456789ab /a.ini why", "CONFIG", "CONFIG"), received);
    }

    /** The word is the placeholder in its place alone: in a path or a note it is the operator's. */
    @Test
    void aPathAndANoteMayHoldTheWordOfThePlaceholder() throws Exception {
        String before = status("3 abcdef012345", "");
        String end = status("4 0123456789ab", "");
        propose("CONFIG PROPOSE PARENT 0123456789ab /PARENT.ini for PARENT", before, ASKED, before, end);
        assertEquals("CONFIG PROPOSE 3 0123456789ab /PARENT.ini for PARENT", received.get(1));
        received.clear();
        propose("CONFIG ROLLBACK 2 PARENT again", before, ASKED, before, end);
        assertEquals("CONFIG ROLLBACK 2 PARENT again", received.get(1));
    }

    /** What ended before the proposal is not taken for it, though the content is the same. */
    @Test
    void anEarlierProposalOfTheSameContentIsPassedOver() throws Exception {
        String before = status("3 0123456789ab no majority", "");
        int exitCode =
                propose("CONFIG ROLLBACK 2 why", before, ASKED, before, status("4 0123456789ab no majority", ""));
        assertEquals(ExitCodes.FAILED, exitCode);
        assertEquals("version 4: no majority", output.toString().strip());
    }

    @Test
    void aRefusalIsPrinted() throws Exception {
        int exitCode = propose(
                "CONFIG ROLLBACK 2 why", status("", ""), ASKED, status("", "0123456789ab a.ini holds another by now"));
        assertEquals(ExitCodes.FAILED, exitCode);
        assertEquals("refused: a.ini holds another by now", output.toString().strip());
    }

    @Test
    void aRejectedCommandFails() {
        String command = "CONFIG ROLLBACK 9 why";
        IOException rejected =
                assertThrows(IOException.class, () -> propose(command, status("", ""), "400 version 9 is not kept\n"));
        assertEquals("127.0.0.1:" + member.getLocalPort() + ": version 9 is not kept", rejected.getMessage());
    }

    @Test
    void aMemberThatClosesWithoutAResponseFails() {
        IOException failure = assertThrows(IOException.class, () -> propose("CONFIG ROLLBACK 9 why", ""));
        assertEquals("127.0.0.1:" + member.getLocalPort() + ": no answer", failure.getMessage());
    }
}
