package elderseam.cli;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A client of one member's control address: a connection per command, blocking. */
final class ControlClient {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final String ACCEPTED_STATUS = "200 ";
    private static final String REJECTED_STATUS = "400 ";

    private final String address;
    private final String host;
    private final int port;

    private ControlClient(String address, String host, int port) {
        this.address = address;
        this.host = host;
        this.port = port;
    }

    /**
     * A client for the address that an operator gave with {@code --at}. Nothing is sent yet.
     *
     * @param command the command to whose usage a malformed address is a fault
     */
    static ControlClient of(CommandBase command, String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("\\d{1,5}")) {
            throw command.usageFault("--at: '" + address + "', allowed: ADDRESS:PORT, a member's second address");
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        return new ControlClient(address, address.substring(0, colon), port);
    }

    /**
     * Sends a command and waits for its response.
     *
     * @throws IOException if the member can't be reached, does not answer in time, or rejects the command
     */
    ControlResponse send(String command) throws IOException {
        List<String> lines = exchange(command);
        if (lines.isEmpty()) {
            throw new IOException(address + ": no answer");
        }
        String first = lines.get(0);
        if (!first.startsWith(ACCEPTED_STATUS)) {
            boolean rejected = first.startsWith(REJECTED_STATUS);
            throw new IOException(address + ": " + (rejected ? first.substring(REJECTED_STATUS.length()) : first));
        }
        return new ControlResponse(first.substring(ACCEPTED_STATUS.length()), lines.subList(1, lines.size()));
    }

    private List<String> exchange(String command) throws IOException {
        try (Socket socket = new Socket(host, port)) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.ISO_8859_1).lines().toList();
        }
    }
}
