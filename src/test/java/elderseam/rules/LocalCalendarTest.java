package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.time.ZoneId;
import org.junit.jupiter.api.Test;

class LocalCalendarTest {
    /** The month ends in Windhoek two hours before it ends in Greenwich. */
    @Test
    void partsAreOfTheZone() {
        LocalCalendar calendar = new LocalCalendar(ZoneId.of("Africa/Windhoek"));
        long lastSecondMs = Instant.parse("2026-11-30T21:59:59Z").toEpochMilli();
        long nextMonthMs = lastSecondMs + 1_000;
        assertEquals(30, calendar.part(RuleVariables.DAY, lastSecondMs));
        assertEquals(0, calendar.part(RuleVariables.DAYS_LEFT, lastSecondMs));
        assertEquals(23, calendar.part(RuleVariables.HOUR, lastSecondMs));
        assertEquals(1, calendar.part(RuleVariables.DAY, nextMonthMs));
        assertEquals(12, calendar.part(RuleVariables.MONTH, nextMonthMs));
        assertEquals(30, calendar.part(RuleVariables.DAYS_LEFT, nextMonthMs));
        assertEquals(2, calendar.part(RuleVariables.WEEKDAY, nextMonthMs));
    }
}
