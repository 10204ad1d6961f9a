package elderseam.gossip.transport;

import elderseam.gossip.TokenBucket;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * The UDP socket. Each time the socket is readable, at most 32 datagrams are read, so that a flood can't keep other
 * sockets of the I/O thread waiting. At most 4,000 datagrams are read per second: above that, reading pauses for a
 * while, and the kernel drops datagrams that exceed its buffer. Confined to the I/O thread.
 */
final class DatagramTransport implements AutoCloseable {
    /** Handles received datagrams. */
    interface Handler {
        /** Called for each datagram; {@code bytes} is reused after the call. */
        void received(InetSocketAddress from, byte[] bytes, int length);
    }

    private static final int MAX_READS_PER_PASS = 32;
    private static final double MAX_READS_PER_SECOND = 4_000;
    private static final double MAX_READ_BURST = MAX_READS_PER_SECOND / 4;
    /** A longer datagram is truncated to this size, which still exceeds the limit above which envelopes are dropped. */
    private static final int BUFFER_BYTES = 2_048;

    private static final long READ_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private final IoLoop io;
    private final MulticastMessageChannel channel;
    private final Handler handler;
    private final TokenBucket readLimit;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();
    private long readPauses;

    /** Binds the socket and starts to read. */
    DatagramTransport(IoLoop io, InetSocketAddress listenAddress, Handler handler) throws IOException {
        this.io = io;
        this.handler = handler;
        this.readLimit = new TokenBucket(MAX_READS_PER_SECOND, MAX_READ_BURST, io.clock.now());
        ChannelListener<MulticastMessageChannel> noListener = null;
        this.channel = io.worker().createUdpServer(listenAddress, noListener, OptionMap.EMPTY);
        channel.getReadSetter().set(readable -> readDatagrams());
        channel.resumeReads();
    }

    InetSocketAddress localAddress() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void readDatagrams() {
        try {
            for (int i = 0; i < MAX_READS_PER_PASS; i++) {
                if (!readLimit.tryAcquire(1, io.clock.now())) {
                    pauseReads();
                    return;
                }
                buffer.clear();
                if (channel.receiveFrom(addresses, buffer) <= 0) { // no datagram, or an empty one
                    return;
                }
                InetSocketAddress from = addresses.getSourceAddress(InetSocketAddress.class);
                handler.received(from, buffer.array(), buffer.position());
            }
        } catch (IOException e) {
            // for example an ICMP error for a datagram sent earlier
        }
    }

    private void pauseReads() {
        readPauses++;
        channel.suspendReads();
        io.at(io.clock.now() + READ_PAUSE_NS, channel::resumeReads);
    }

    /** Sends a datagram. It is lost, without an error, if the kernel does not accept it immediately. */
    void send(InetSocketAddress to, byte[] bytes) {
        try {
            channel.sendTo(to, ByteBuffer.wrap(bytes));
        } catch (IOException | RuntimeException e) {
            // no route, or (unchecked) an invalid address, such as port 0; the protocol tolerates lost datagrams
        }
    }

    /** Returns how often reading was paused because of the rate limit. */
    long readPauses() {
        return readPauses;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // ignored: the channel is not used any more
        }
    }
}
