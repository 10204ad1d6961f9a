package elderseam.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.AbstractMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A map view of the headers of a request. Names are case-insensitive in look-ups and lower-case in the entries. A
 * repeated header has its first value, and values have no surrounding white space. A look-up copies nothing; the
 * entries are copied once, when they are first iterated. Read-only, and confined to the I/O thread like the headers
 * themselves.
 */
public final class HeaderView extends AbstractMap<String, String> {
    private final HeaderMap headers;
    private Map<String, String> entries; // null until first iterated

    /** Creates a view of the given headers. */
    public HeaderView(HeaderMap headers) {
        this.headers = headers;
    }

    @Override
    public String get(Object name) {
        String value = name instanceof String text ? headers.getFirst(text) : null;
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
        if (entries == null) {
            entries = new LinkedHashMap<>();
            for (HeaderValues values : headers) {
                String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
                entries.put(name, values.getFirst().strip());
            }
        }
        return entries.entrySet();
    }
}
