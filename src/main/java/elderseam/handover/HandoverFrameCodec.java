package elderseam.handover;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Handover;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes {@link HandoverFrame}s: a version byte, a type byte, then the type's fields in the order of the
 * methods below, each as {@link DataOutputStream} writes it. Two releases exchange these bytes during an upgrade, so
 * they never change within a version. Stateless; callable from any thread.
 */
public final class HandoverFrameCodec {
    /** The only version of the format; a process that receives another one closes the channel. */
    public static final byte VERSION = 1;

    /** The largest frame that is accepted, in bytes. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final byte TYPE_TRANSFER_REQUEST = 1;
    private static final byte TYPE_STATE_TRANSFER = 2;
    private static final byte TYPE_OWNERSHIP_CONFIRMED = 3;
    private static final byte TYPE_ATTEMPT_CANCELLATION = 4;
    private static final byte TYPE_ATTEMPT_COMPLETION = 5;

    private static final int TYPICAL_FRAME_BYTES = 256;

    /** A progress is sent as its index here, whatever the order of the enum. */
    private static final List<Progress> PROGRESS_BY_CODE =
            List.of(Progress.NOT_CONNECTED, Progress.PARTLY_WRITTEN, Progress.WRITTEN, Progress.ANSWERED);

    /** A status is sent as its index here, whatever the order of the enum. */
    private static final List<Status> STATUS_BY_CODE = List.of(
            Status.DELIVERED,
            Status.ERROR,
            Status.OVERLOADED,
            Status.NO_SLOT,
            Status.EXPIRED,
            Status.WITHDRAWN,
            Status.BROKEN,
            Status.TIMED_OUT,
            Status.ABANDONED,
            Status.NOT_STARTED);

    private HandoverFrameCodec() {}

    /** A local failure is sent as what earlier releases know: neither asked the endpoint. */
    private static Status wireStatus(Status status) {
        return status == Status.LOCAL_FAILURE ? Status.NOT_STARTED : status;
    }

    /**
     * The frame's bytes, without a length.
     *
     * @throws IOException if a text is too long for {@link DataOutputStream#writeUTF}
     */
    public static byte[] encode(HandoverFrame frame) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_FRAME_BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        if (frame instanceof HandoverFrame.TransferRequest) {
            out.writeByte(TYPE_TRANSFER_REQUEST);
        } else if (frame instanceof HandoverFrame.StateTransfer transfer) {
            out.writeByte(TYPE_STATE_TRANSFER);
            writeStateTransfer(out, transfer);
        } else if (frame instanceof HandoverFrame.OwnershipConfirmed) {
            out.writeByte(TYPE_OWNERSHIP_CONFIRMED);
        } else if (frame instanceof HandoverFrame.AttemptCancellation cancellation) {
            out.writeByte(TYPE_ATTEMPT_CANCELLATION);
            out.writeUTF(cancellation.requestId());
            out.writeInt(cancellation.attempt());
        } else if (frame instanceof HandoverFrame.AttemptCompletion completion) {
            out.writeByte(TYPE_ATTEMPT_COMPLETION);
            writeCompletedAttempt(out, completion.attempt());
        }
        return bytes.toByteArray();
    }

    /**
     * The frame of these bytes. Bytes after its last field are ignored.
     *
     * @throws HandoverProtocolException if they are of another version, or no frame
     * @throws IOException if they end before the frame does
     */
    public static HandoverFrame decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        byte version = in.readByte();
        if (version != VERSION) {
            throw new HandoverProtocolException(
                    "the other process speaks version " + version + ", this one " + VERSION);
        }
        byte type = in.readByte();
        return switch (type) {
            case TYPE_TRANSFER_REQUEST -> new HandoverFrame.TransferRequest();
            case TYPE_STATE_TRANSFER -> readStateTransfer(in);
            case TYPE_OWNERSHIP_CONFIRMED -> new HandoverFrame.OwnershipConfirmed();
            case TYPE_ATTEMPT_CANCELLATION -> new HandoverFrame.AttemptCancellation(in.readUTF(), in.readInt());
            case TYPE_ATTEMPT_COMPLETION -> new HandoverFrame.AttemptCompletion(readCompletedAttempt(in));
            default -> throw new HandoverProtocolException("unknown frame " + type);
        };
    }

    private static void writeStateTransfer(DataOutputStream out, HandoverFrame.StateTransfer transfer)
            throws IOException {
        writeBytes(out, transfer.endpointList().getBytes(StandardCharsets.UTF_8));
        writeBytes(out, transfer.state().policySnapshot());
        out.writeBoolean(transfer.draining());
        out.writeInt(transfer.state().inFlight().size());
        for (Handover.InFlightAttempt attempt : transfer.state().inFlight()) {
            out.writeUTF(attempt.requestId());
            out.writeInt(attempt.attempt());
            out.writeUTF(attempt.endpoint());
            out.writeLong(attempt.ageNs());
        }
        writeConfiguration(out, transfer.configuration());
    }

    /** Earlier releases send nothing here, and ignore it. */
    private static void writeConfiguration(DataOutputStream out, HandoverFrame.ConfigurationReading configuration)
            throws IOException {
        if (configuration.isKnown()) {
            out.writeUTF(configuration.discoveryAddress());
            out.writeLong(configuration.ageNs());
        }
    }

    private static HandoverFrame.ConfigurationReading readConfiguration(DataInputStream in) throws IOException {
        return in.available() == 0
                ? HandoverFrame.ConfigurationReading.UNKNOWN
                : new HandoverFrame.ConfigurationReading(in.readUTF(), in.readLong());
    }

    private static HandoverFrame.StateTransfer readStateTransfer(DataInputStream in) throws IOException {
        String endpointList = new String(readBytes(in), StandardCharsets.UTF_8);
        byte[] learned = readBytes(in);
        boolean draining = in.readBoolean();
        List<Handover.InFlightAttempt> attempts = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            attempts.add(new Handover.InFlightAttempt(in.readUTF(), in.readInt(), in.readUTF(), in.readLong()));
        }
        return new HandoverFrame.StateTransfer(
                endpointList, new Handover.State(learned, attempts), draining, readConfiguration(in));
    }

    private static void writeCompletedAttempt(DataOutputStream out, Handover.ForwardedOutcome attempt)
            throws IOException {
        out.writeUTF(attempt.requestId());
        out.writeInt(attempt.attempt());
        out.writeUTF(attempt.endpoint());
        out.writeBoolean(attempt.late());
        AttemptOutcome outcome = attempt.outcome();
        out.writeByte(PROGRESS_BY_CODE.indexOf(outcome.progress()));
        out.writeByte(STATUS_BY_CODE.indexOf(wireStatus(outcome.status())));
        out.writeLong(outcome.retryAfterNs());
        out.writeDouble(outcome.headroom());
        out.writeDouble(outcome.limitPerSecond());
    }

    private static Handover.ForwardedOutcome readCompletedAttempt(DataInputStream in) throws IOException {
        String requestId = in.readUTF();
        int attempt = in.readInt();
        String endpoint = in.readUTF();
        boolean late = in.readBoolean();
        Progress progress = readCode(in, PROGRESS_BY_CODE);
        Status status = readCode(in, STATUS_BY_CODE);
        long retryAfterNs = in.readLong();
        double headroom = in.readDouble();
        double limitPerSecond = in.readDouble();
        return new Handover.ForwardedOutcome(
                requestId,
                attempt,
                endpoint,
                late,
                new AttemptOutcome(progress, status, retryAfterNs, headroom, limitPerSecond));
    }

    private static <T> T readCode(DataInputStream in, List<T> valuesByCode) throws IOException {
        byte code = in.readByte();
        if (code < 0 || code >= valuesByCode.size()) {
            throw new HandoverProtocolException("unknown code " + code);
        }
        return valuesByCode.get(code);
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0) {
            throw new HandoverProtocolException("a field of " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("a field that stops short");
        }
        return bytes;
    }
}
