package elderseam.rules;

import java.time.Instant;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/** The day and the time of day in a zone, worked out once a minute. */
final class Calendar {
    private static final long MINUTE_MS = 60_000;

    private final ZoneId zone;
    private long minute = Long.MIN_VALUE;
    private ZonedDateTime at;

    Calendar(ZoneId zone) {
        this.zone = zone;
    }

    /** A part, by its number in {@link RuleVariables}; months and days from 1, Monday is 1; days left: 0 on the last of the month. */
    long part(int name, long wallMs) {
        if (Math.floorDiv(wallMs, MINUTE_MS) != minute) {
            minute = Math.floorDiv(wallMs, MINUTE_MS);
            at = Instant.ofEpochMilli(wallMs).atZone(zone);
        }
        return switch (name) {
            case RuleVariables.YEAR -> at.getYear();
            case RuleVariables.MONTH -> at.getMonthValue();
            case RuleVariables.DAY -> at.getDayOfMonth();
            case RuleVariables.HOUR -> at.getHour();
            case RuleVariables.MINUTE -> at.getMinute();
            case RuleVariables.WEEKDAY -> at.getDayOfWeek().getValue();
            default -> at.toLocalDate().lengthOfMonth() - at.getDayOfMonth();
        };
    }
}
