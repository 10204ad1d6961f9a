package elderseam.testkit.emulator;

import elderseam.core.InMemoryJournalStore;
import java.util.LinkedHashMap;
import java.util.Map;

/** What outlasts an emulated process: its journal, and the messages of a baseline policy that is spared their loss. */
final class EmulatedStore extends InMemoryJournalStore {
    final Map<String, BaselineDispatcher.HeldRequest> survivingRequests = new LinkedHashMap<>();
}
