package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class MetaCommandTest {
  @Test
  void answersNoOpAndUnknownCommands() {
    EmbeddedChannel channel =
        new EmbeddedChannel(new MetaCommand.Decoder(new MemoryBudget(100), List.of()));
    channel.writeInbound(Unpooled.copiedBuffer("mn\r\nnonsense\r\n", StandardCharsets.US_ASCII));
    assertEquals("MN", channel.<MetaCommand>readInbound().immediateReply);
    assertEquals("ERROR", channel.<MetaCommand>readInbound().immediateReply);
    channel.finishAndReleaseAll();
  }
}
