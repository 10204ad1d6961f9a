package elderseam.gossip.security;

import elderseam.gossip.PeerVerifier;
import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.security.PublicKey;

/** This instance's key, and the roster as it is now. */
public final class Keyring implements PeerVerifier {
    private final KeyFile own;
    private Roster roster;

    public Keyring(KeyFile own, Roster roster) {
        this.own = own;
        this.roster = roster;
    }

    public Roster roster() {
        return roster;
    }

    /** Another roster from now on. */
    public void roster(Roster fresh) {
        roster = fresh;
    }

    @Override
    public int key() {
        return own.number();
    }

    @Override
    public byte[] seal(byte[] bytes) {
        return Ed25519.sign(own.secret, bytes);
    }

    @Override
    public boolean genuine(String name, int key, byte[] bytes, byte[] seal) {
        Roster.Entry e = roster.get(name);
        PublicKey k = e == null ? null : e.key(key);
        return k != null && Ed25519.verify(k, bytes, bytes.length, seal);
    }

    @Override
    public boolean mayBeAt(String name, String address) {
        Roster.Entry e = roster.get(name);
        int colon = address.lastIndexOf(':');
        if (e == null || colon < 1 || !address.substring(colon + 1).matches("\\d{1,5}")) {
            return false;
        }
        String host = address.substring(0, colon);
        host = host.startsWith("[") && host.endsWith("]") ? host.substring(1, host.length() - 1) : host;
        if (!host.matches("[0-9a-fA-F.:]+")) { // a name would be looked up
            return false;
        }
        try {
            IPAddress a = new IPAddressString(host).toAddress();
            return e.mayBeAt(a);
        } catch (AddressStringException | RuntimeException x) {
            return false;
        }
    }
}
