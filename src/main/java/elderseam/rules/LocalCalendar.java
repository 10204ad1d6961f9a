package elderseam.rules;

import java.time.Instant;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/** Local date and time in the rules' zone, computed once a minute. Confined to the thread that evaluates rules. */
final class LocalCalendar {
    private static final long MINUTE_MS = 60_000;

    private final ZoneId zone;
    private long cachedMinute = Long.MIN_VALUE; // minutes since the epoch
    private ZonedDateTime cachedTime;

    LocalCalendar(ZoneId zone) {
        this.zone = zone;
    }

    /**
     * Returns one part of the local time.
     *
     * @param variable number of a {@code local.} variable in {@link RuleVariables}
     * @param wallMs milliseconds since the epoch
     * @return months and days count from 1, Monday is 1; {@code local.days_left} is 0 on the last day of the month
     */
    long part(int variable, long wallMs) {
        long minute = Math.floorDiv(wallMs, MINUTE_MS);
        if (minute != cachedMinute) {
            cachedMinute = minute;
            cachedTime = Instant.ofEpochMilli(wallMs).atZone(zone);
        }
        return switch (variable) {
            case RuleVariables.YEAR -> cachedTime.getYear();
            case RuleVariables.MONTH -> cachedTime.getMonthValue();
            case RuleVariables.DAY -> cachedTime.getDayOfMonth();
            case RuleVariables.HOUR -> cachedTime.getHour();
            case RuleVariables.MINUTE -> cachedTime.getMinute();
            case RuleVariables.WEEKDAY -> cachedTime.getDayOfWeek().getValue();
            default -> cachedTime.toLocalDate().lengthOfMonth() - cachedTime.getDayOfMonth();
        };
    }
}
