package elderseam.testkit.faults;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A line of a history, as {@link elderseam.fleet.selftest.FaultTestHistory} writes them.
 *
 * @param type the event's type
 * @param atNs when it happened, of the machine's monotonic clock
 * @param fields all fields of the line
 */
record HistoryLine(String type, long atNs, JsonNode fields) {
    /** The line of a JSON object. */
    static HistoryLine of(JsonNode fields) {
        return new HistoryLine(fields.get("type").asText(), fields.get("at_ns").asLong(), fields);
    }

    /** Whether it is an event of that type. */
    boolean is(String wanted) {
        return type.equals(wanted);
    }

    /** Whether it is an act that took effect on the store. */
    boolean isAdmittedAct() {
        return is("effect") && fields.get("admitted").asBoolean();
    }

    /** Whether it is an act that the store refused by its token. */
    boolean isFencedAct() {
        return is("effect") && !fields.get("admitted").asBoolean();
    }

    /** A field that the event's type has, as text. */
    String text(String field) {
        return fields.get(field).asText();
    }

    /** A field that the event's type has, as a number. */
    long number(String field) {
        return fields.get(field).asLong();
    }
}
