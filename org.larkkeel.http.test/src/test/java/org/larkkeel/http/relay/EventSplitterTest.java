/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the splitting of a stream into complete events. */
public class EventSplitterTest {
  private static final String THREE =
      "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";

  private static List<EventSplitter.StreamEvent> split(EventSplitter s, byte[] part) {
    List<EventSplitter.StreamEvent> events = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(part);
    for (EventSplitter.StreamEvent e = s.next(bytes); e != null; e = s.next(bytes)) {
      events.add(e);
    }
    return events;
  }

  /** Streams that arrive in parts of any size. */
  public static class Parts {
    /** The line ends that a stream may use. */
    @DataProvider
    public Object[][] ends() {
      return new Object[][] {{"\n"}, {"\r\n"}, {"\r"}};
    }

    @Test(dataProvider = "ends")
    public void changesNoByte(String end) {
      byte[] stream = (THREE.replace("\n", end) + "id: 4").getBytes(StandardCharsets.UTF_8);
      for (int seed = 0; seed < 300; seed++) {
        Random random = new Random(seed);
        EventSplitter s = new EventSplitter(1_000);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        List<Long> ids = new ArrayList<>();
        for (int at = 0; at < stream.length; ) {
          int length = Math.min(stream.length - at, 1 + random.nextInt(9));
          byte[] part = java.util.Arrays.copyOfRange(stream, at, at + length);
          for (EventSplitter.StreamEvent e : split(s, part)) {
            out.writeBytes(e.bytes());
            e.id().ifPresent(ids::add);
          }
          at += length;
        }
        out.writeBytes(s.takeRemainder());
        assertEquals(out.toByteArray(), stream, "seed " + seed);
        assertEquals(ids, List.of(1L, 2L, 3L), "seed " + seed);
      }
    }
  }

  /** Events without a numeric id, and events that are too large. */
  public static class UnusualEvents {
    @Test
    public void hasNoNumberWithoutNumericId() {
      EventSplitter s = new EventSplitter(1_000);
      byte[] bytes = "id: x\ndata: a\n\ndata: b\n\n".getBytes(StandardCharsets.UTF_8);
      List<EventSplitter.StreamEvent> events = split(s, bytes);
      assertEquals(events.size(), 2);
      assertEquals(events.get(0).id(), OptionalLong.empty());
      assertEquals(events.get(1).id(), OptionalLong.empty());
    }

    /** Events, and their ids; -1 if there is none. */
    @DataProvider
    public Object[][] ids() {
      return new Object[][] {
        {"id:7\n\n", 7},
        {"data: a\r\nid:  7 \r\n\r\n", 7},
        {"\nid: 7\rdata: id: 8\r\r", 7},
        {"id: +7\nid: 8\n\n", 7},
        {"id: 7x\nid: 8\n\n", -1},
        {"id: 99999999999999999999\n\n", -1},
        {"id:\n\n", -1},
        {"id\n\n", -1},
        {" id: 7\n\n", -1},
        {"ID: 7\n\n", -1},
        {"data: x\n\n", -1},
      };
    }

    @Test(dataProvider = "ids")
    public void readsFirstIdField(String event, long id) {
      List<EventSplitter.StreamEvent> events =
          split(new EventSplitter(1_000), event.getBytes(StandardCharsets.UTF_8));
      assertEquals(events.getLast().id().orElse(-1), id);
    }

    @Test
    public void reportsTooLargeEvent() {
      EventSplitter s = new EventSplitter(10);
      split(s, "data: 12345".getBytes(StandardCharsets.UTF_8));
      assertEquals(s.isTooLarge(), true);
    }
  }
}
