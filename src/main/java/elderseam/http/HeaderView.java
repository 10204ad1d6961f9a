package elderseam.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.AbstractMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The headers of a request as a map: names without regard to case, of each the first value. Looking one up allocates nothing. */
public final class HeaderView extends AbstractMap<String, String> {
    private final HeaderMap headers;
    private Map<String, String> all; // once somebody goes through them

    public HeaderView(HeaderMap headers) {
        this.headers = headers;
    }

    @Override
    public String get(Object name) {
        String value = name instanceof String s ? headers.getFirst(s) : null;
        return value == null ? null : value.strip();
    }

    @Override
    public boolean containsKey(Object name) {
        return get(name) != null;
    }

    @Override
    public int size() {
        return headers.size();
    }

    @Override
    public Set<Entry<String, String>> entrySet() {
        if (all == null) {
            all = new LinkedHashMap<>();
            for (HeaderValues h : headers) {
                all.put(
                        h.getHeaderName().toString().toLowerCase(Locale.ROOT),
                        h.getFirst().strip());
            }
        }
        return all.entrySet();
    }
}
