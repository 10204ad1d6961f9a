package elderseam.gossip.security;

import elderseam.gossip.PeerVerifier;
import inet.ipaddr.IPAddress;
import java.security.PublicKey;
import java.util.Optional;

/** This member's own key and the current roster. Not thread-safe; confined to one thread. */
public final class Keyring implements PeerVerifier {
    private final KeyFile ownKey;
    private Roster roster;

    /** Creates a keyring whose current roster is {@code roster}. */
    public Keyring(KeyFile ownKey, Roster roster) {
        this.ownKey = ownKey;
        this.roster = roster;
    }

    /** Returns the current roster. */
    public Roster roster() {
        return roster;
    }

    /** Replaces the current roster. */
    public void setRoster(Roster newRoster) {
        roster = newRoster;
    }

    @Override
    public int keyId() {
        return ownKey.keyId();
    }

    @Override
    public byte[] sign(byte[] bytes) {
        return ownKey.sign(bytes);
    }

    @Override
    public boolean isSignatureValid(String member, int keyId, byte[] bytes, byte[] signature) {
        Roster.Entry entry = roster.get(member);
        PublicKey key = entry == null ? null : entry.findKey(keyId);
        return key != null && Ed25519.verify(key, bytes, bytes.length, signature);
    }

    @Override
    public boolean isAddressAllowed(String member, String address) {
        Roster.Entry entry = roster.get(member);
        if (entry == null) {
            return false;
        }
        Optional<IPAddress> host = AddressRanges.parseHost(address);
        return host.isPresent() && entry.isAddressAllowed(host.get());
    }
}
