package elderseam.frontend.cloudevents;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import io.cloudevents.CloudEvent;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Builds messages of events, by the mapping of docs/design.md: the type is the class; extensions name destination,
 * tenant and deadline; source and id are the identity. Confined to the I/O thread.
 */
final class EventMessageMapper {
    static final int MAX_EVENT_BYTES = 64 << 10;

    /** What the sender of a larger event is told. */
    static final String TOO_LARGE = "more than " + MAX_EVENT_BYTES + " bytes";

    private static final Pattern DESTINATION = Pattern.compile("\\d{1,18}");

    /** The index of a class or tenant that the settings don't name, and a destination that an event does not name. */
    private static final int NONE = -1;

    /** Begins the id of each event's message; no request of the platform has an id with a slash. */
    private static final String ID_PREFIX = "ce/";

    private static final int ID_HASH_BYTES = 16;

    /** The CloudEvents extension for the ordering key (partitioning extension). */
    private static final String ORDER_KEY_EXTENSION = "partitionkey";

    private static final int MAX_ORDER_KEY_CHARS = 256;

    private final Clock clock;
    private final List<String> classes;
    private final List<String> tenants;
    private final PolicySettings settings;
    private final long retentionNs;

    /** {@code retentionNs}: how long the outcome of an event is remembered, or until its deadline if that is later. */
    EventMessageMapper(Clock clock, SettingsMap settings, long retentionNs) {
        this.clock = clock;
        this.classes = settings.names("services");
        this.tenants = settings.names("orgs");
        this.settings = settings.toPolicySettings();
        this.retentionNs = retentionNs;
    }

    /**
     * Builds the message of a valid event.
     *
     * @param ruled whether class and destination may be missing, since the operator's rules may set them
     * @throws InvalidEventException if the event can't be mapped
     */
    ActiveRequest.Message toMessage(CloudEvent event, boolean ruled) throws InvalidEventException {
        int classIndex = classes.indexOf(event.getType());
        if (classIndex == NONE && !ruled) {
            throw InvalidEventException.malformed("type '" + event.getType() + "' is no class of message");
        }
        long destination = destination(event, ruled);
        long deadline = deadline(event, classIndex);
        String orderKey = orderKey(event, classIndex);
        byte[] body = EventCodec.encode(event);
        if (body.length > MAX_EVENT_BYTES) {
            throw new InvalidEventException(413, TOO_LARGE);
        }
        String messageId = messageId(event.getSource().toString(), event.getId());
        return new ActiveRequest.Message(
                messageId,
                EventFrontend.NUMBER,
                classIndex,
                tenants.indexOf(extension(event, "tenant")),
                destination,
                deadline,
                Math.max(deadline, clock.now() + retentionNs), // its sender may ask again while it may be delivered
                false,
                false,
                messageId,
                body,
                "",
                orderKey);
    }

    private static long destination(CloudEvent event, boolean ruled) throws InvalidEventException {
        String destination = extension(event, "destination");
        if (destination.isEmpty() && ruled) {
            return NONE;
        }
        if (!DESTINATION.matcher(destination).matches()) {
            throw InvalidEventException.malformed("destination is missing or no number");
        }
        return Long.parseLong(destination);
    }

    /** The ordering key; empty for none, and in classes that don't keep their order. */
    private String orderKey(CloudEvent event, int classIndex) throws InvalidEventException {
        if (classIndex == NONE || !settings.classes().get(classIndex).ordered()) {
            return "";
        }
        String orderKey = extension(event, ORDER_KEY_EXTENSION);
        if (orderKey.length() > MAX_ORDER_KEY_CHARS) {
            throw InvalidEventException.malformed("partitionkey has more than " + MAX_ORDER_KEY_CHARS + " characters");
        }
        return orderKey;
    }

    /** The deadline of the event's class, or the event's own if that is earlier. */
    private long deadline(CloudEvent event, int classIndex) throws InvalidEventException {
        long deadlineNs = classIndex == NONE
                ? longestDeadlineNs()
                : settings.classes().get(classIndex).deadlineNs();
        long deadline = clock.now() + deadlineNs;
        String ownDeadline = extension(event, "deadline");
        if (ownDeadline.isEmpty()) {
            return deadline;
        }
        try {
            long ownDeadlineMs = OffsetDateTime.parse(ownDeadline).toInstant().toEpochMilli();
            return Math.min(deadline, clock.fromWall(ownDeadlineMs));
        } catch (DateTimeException | ArithmeticException e) {
            throw InvalidEventException.malformed("deadline is no RFC 3339 time");
        }
    }

    private long longestDeadlineNs() {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadlineNs)
                .max()
                .orElse(0);
    }

    private static String extension(CloudEvent event, String name) {
        Object value = event.getExtension(name);
        return value == null ? "" : value.toString();
    }

    /**
     * The id of an event's message: a hash of source and id. The length of the source is hashed too, so that no two
     * pairs give the same text.
     */
    static String messageId(String source, String id) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((source.length() + ":" + source + id).getBytes(StandardCharsets.UTF_8));
            return ID_PREFIX + HexFormat.of().formatHex(sha.digest(), 0, ID_HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each Java platform has SHA-256
        }
    }
}
