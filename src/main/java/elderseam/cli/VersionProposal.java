package elderseam.cli;

import java.io.IOException;
import java.io.PrintWriter;

/** Sends a proposal for a configuration version to a member, and polls until the fleet has committed or refused it. */
final class VersionProposal {
    private static final String PROPOSE = "CONFIG PROPOSE ";

    /**
     * A proposal begins so; the second word stands for the number of the version that is the latest when it is sent.
     */
    static final String PROPOSE_PARENT = PROPOSE + "PARENT";

    private static final String STATUS_COMMAND = "CONFIG";

    /** The control address answers questions only: the result has to be asked for. */
    private static final int POLL_INTERVAL_MS = 100;

    /** The version's number, its short hash, and why it failed. */
    private static final int ENDED_FIELDS = 3;

    private final ControlClient member;
    private final PrintWriter out;

    VersionProposal(ControlClient member, PrintWriter out) {
        this.member = member;
        this.out = out;
    }

    /**
     * Sends the command, waits for what becomes of the proposal, and prints it.
     *
     * @param command a CONFIG command that the member answers with the hash of what it proposes
     * @return {@link ExitCodes#OK} if the version was committed
     */
    int propose(String command) throws IOException, InterruptedException {
        ControlResponse before = member.send(STATUS_COMMAND);
        String latestVersion = before.value("latest").split(" ")[0];
        String hash =
                member.send(withParent(command, latestVersion)).message().replaceFirst("^asked ([0-9a-f]+);.*", "$1");
        return awaitResult(hash, before.value("ended"));
    }

    /** The number takes the placeholder's place, and that alone: a note or a path may have the same word. */
    private static String withParent(String command, String latestVersion) {
        return command.startsWith(PROPOSE_PARENT)
                ? PROPOSE + latestVersion + command.substring(PROPOSE_PARENT.length())
                : command;
    }

    /** {@code endedBefore} is the proposal that had ended last before this one: it may have had the same content. */
    private int awaitResult(String hash, String endedBefore) throws IOException, InterruptedException {
        while (true) {
            ControlResponse now = member.send(STATUS_COMMAND);
            String refused = now.value("refused");
            if (refused.startsWith(hash + " ")) {
                out.println("refused: " + refused.substring(hash.length() + 1));
                return ExitCodes.FAILED;
            }
            String ended = now.value("ended");
            String[] endedFields = ended.split(" ", ENDED_FIELDS);
            if (endedFields.length > 1 && endedFields[1].equals(hash) && !ended.equals(endedBefore)) {
                return printEnd(endedFields);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private int printEnd(String[] endedFields) {
        String number = endedFields[0];
        boolean committed = endedFields.length < ENDED_FIELDS || endedFields[2].isBlank();
        if (committed) {
            out.println("version " + number + " " + endedFields[1] + " is committed");
            return ExitCodes.OK;
        }
        out.println("version " + number + ": " + endedFields[2]);
        return ExitCodes.FAILED;
    }
}
