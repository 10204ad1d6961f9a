package elderseam.testkit.gossip;

import elderseam.gossip.PeerVerifier;

/** Accepts every signature: nobody forges packets on the simulated network, and real signatures would only cost time. */
final class TrustingVerifier implements PeerVerifier {
    private static final int SIGNATURE_BYTES = 64;

    @Override
    public int keyId() {
        return 1;
    }

    @Override
    public byte[] sign(byte[] bytes) {
        return new byte[SIGNATURE_BYTES];
    }

    @Override
    public boolean isSignatureValid(String name, int key, byte[] bytes, byte[] signature) {
        return true;
    }

    @Override
    public boolean isAddressAllowed(String name, String address) {
        return name.equals(address);
    }
}
