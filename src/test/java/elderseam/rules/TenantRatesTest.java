package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TenantRatesTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final int WINDOW_SECONDS = 16;
    private static final double TOLERANCE = 0.001;

    private final TenantRates rates = new TenantRates(2, WINDOW_SECONDS);

    @Test
    void aRateIsThatOfTheLastWindow() {
        for (int i = 0; i < 160; i++) {
            rates.count(0, i * SECOND_NS / 10);
        }
        assertEquals(10, rates.perSecond(0, 159 * SECOND_NS / 10), TOLERANCE);
        assertEquals(0, rates.perSecond(1, 16 * SECOND_NS));
        assertEquals(5, rates.perSecond(0, 23 * SECOND_NS + SECOND_NS / 2), 0.01);
        assertEquals(0, rates.perSecond(0, 1_000 * SECOND_NS));
    }

    @Test
    void unknownTenantsAreCountedTogether() {
        rates.count(-1, SECOND_NS);
        assertEquals(1.0 / WINDOW_SECONDS, rates.perSecond(99, SECOND_NS), TOLERANCE);
    }

    @Test
    void ratesOfTheSameShapeAreInherited() {
        rates.count(0, SECOND_NS);
        TenantRates sameShape = new TenantRates(2, WINDOW_SECONDS);
        sameShape.inherit(rates);
        assertEquals(1.0 / WINDOW_SECONDS, sameShape.perSecond(0, SECOND_NS), TOLERANCE);
        TenantRates moreTenants = new TenantRates(3, WINDOW_SECONDS);
        moreTenants.inherit(rates);
        assertEquals(0, moreTenants.perSecond(0, SECOND_NS));
    }
}
