package elderseam.gossip.transport;

import elderseam.gossip.TokenBucket;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * The datagram socket. A pass over the sockets reads 32 at most, so that a flood leaves the thread to the others, and a second
 * 4,000: above that it is not looked at for a while, and the kernel drops what does not fit its buffer.
 */
final class DatagramTransport implements AutoCloseable {
    /** What arrives; the bytes are lent for the call. */
    interface Reader {
        void read(InetSocketAddress from, byte[] bytes, int length);
    }

    private static final int A_PASS = 32, A_SECOND = 4_000, LONGEST = 2_048;
    private static final long REST_NS = 20_000_000L;

    private final IoLoop io;
    private final MulticastMessageChannel channel;
    private final Reader reader;
    private final TokenBucket pace;
    private final ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
    private final SocketAddressBuffer address = new SocketAddressBuffer();
    private long rests;

    DatagramTransport(IoLoop io, InetSocketAddress at, Reader reader) throws IOException {
        this.io = io;
        this.reader = reader;
        this.pace = new TokenBucket(A_SECOND, A_SECOND / 4.0, io.clock.now());
        this.channel =
                io.worker().createUdpServer(at, (ChannelListener<MulticastMessageChannel>) null, OptionMap.EMPTY);
        channel.getReadSetter().set(this::readable);
        channel.resumeReads();
    }

    InetSocketAddress local() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void readable(MulticastMessageChannel from) {
        try {
            for (int i = 0; i < A_PASS; i++) {
                if (!pace.take(1, io.clock.now())) {
                    rests++;
                    channel.suspendReads();
                    io.at(io.clock.now() + REST_NS, channel::resumeReads);
                    return;
                }
                buffer.clear();
                if (channel.receiveFrom(address, buffer) <= 0) { // an empty datagram ends the pass, and no more
                    return;
                }
                reader.read(address.getSourceAddress(InetSocketAddress.class), buffer.array(), buffer.position());
            }
        } catch (IOException e) {
            // such as an ICMP error for an earlier datagram
        }
    }

    /** Sends one; what the kernel does not take at once is lost, as datagrams may be. */
    void send(InetSocketAddress to, byte[] bytes) {
        try {
            channel.sendTo(to, ByteBuffer.wrap(bytes));
        } catch (IOException | RuntimeException e) {
            // no route, a port of 0: lost, as datagrams may be
        }
    }

    /** How often it was not looked at for a while. */
    long rests() {
        return rests;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing is read from it any more
        }
    }
}
