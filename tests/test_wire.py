import json
import unittest

from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from martenrouter.standins import answers
from martenrouter.standins.model import EngineModel, Job, Spec
from martenrouter.wire import engine, http, jsonrpc, nodes


class Head:
    def __init__(self, status, **headers):
        self.status, self.headers = status, {name.replace("_", "-"): value for name, value in headers.items()}


class Engines(unittest.TestCase):
    def test_which_status_proves_that_nothing_ran(self):
        for head, ending in (
            (Head(429), ("full", 0)),
            (Head(412), ("full", 1)),
            (Head(503), ("error", 0)),
            (Head(503, x_not_run="1"), ("full", 0)),
            (Head(500, x_not_run="1"), ("error", 0)),
            (Head(404), ("error", 0)),
            (Head(302), ("error", 0)),
        ):
            self.assertEqual(engine.ending_of(head), ending, head.status)

    def test_load_reports(self):
        for text, load in (
            (
                'JSON {"named_metrics":{"kv_cache_usage":0.5,"inflight":3}}',
                {"memory_share": 0.5, "reqs_held": 3},
            ),
            ("TEXT named_metrics.kv_cache_usage=0.25, inflight=2", {"memory_share": 0.25, "reqs_held": 2}),
            ('JSON {"cpu_utilization":0.7}', {"share_busy": 0.7}),
            ("JSON {", None),
            ("BIN abc", None),
            ("JSON 5", None),
            ('JSON {"named_metrics":{"inflight":"many"}}', None),
            ("TEXT a", None),
            ('JSON {"named_metrics":{"inflight":-1}}', None),
            ("", None),
            ("TEXT inflight=nan", None),
        ):
            self.assertEqual(engine.load_of({"endpoint-load-metrics": text}), load, text)
        name, value = engine.load_header(0.5, 2, 1)
        self.assertEqual(
            engine.load_of({name: value}), {"memory_share": 0.5, "reqs_held": 2, "reqs_queued": 1}
        )

    @given(st.lists(st.text(max_size=20), min_size=1, max_size=8), st.integers(1, 40))
    @hyp(max_examples=150, deadline=None)
    def test_events_are_the_same_however_they_are_cut(self, texts, cut):
        stream = b": comment\r\n\r\n" + b"".join(
            b"data: " + json.dumps({"choices": [{"delta": {"content": text}}]}).encode() + b"\n\n"
            for text in texts
        )
        stream += b"data: [DONE]\n\n"
        events, pieces = engine.Events(), []
        for at in range(0, len(stream), cut):
            pieces += events.feed(stream[at : at + cut])
        self.assertEqual([piece and piece.choices[0].delta.content for piece in pieces], texts + [None])

    def test_endless_and_bad_events(self):
        for data in (
            b"data: " + b"x" * 300_000,
            b"data: {]\n\n",
            b'data: {"choices": 3}\n\n',
            b"data: \xff\n\n",
        ):
            with self.assertRaises(engine.BadAnswer):
                engine.Events().feed(data)
        for body in (b"", b"{}", b'{"kv_transfer_params": 4}', b"\xff"):
            with self.assertRaises(engine.BadAnswer):
                engine.read_answer(body)

    @given(st.binary(max_size=400))
    @hyp(max_examples=300, deadline=None)
    def test_any_bytes_give_events_or_a_plain_error(self, data):
        for reader, error in (
            (http.ResponseReader(), http.BadBytes),
            (http.RequestReader(), http.BadBytes),
            (engine.Events(), engine.BadAnswer),
            (nodes.Lines(100), nodes.BadLine),
        ):
            try:
                reader.feed(data)
            except error:
                pass

    def test_heads_over_the_limit(self):
        with self.assertRaises(http.BadBytes):
            http.ResponseReader().feed(b"HTTP/1.1 200 OK\r\n" + b"a: " + b"b" * 100_000 + b"\r\n\r\n")


class Clients(unittest.TestCase):
    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(
                    st.sampled_from(["jsonrpc", "id", "method", "params", "result"]), inner, max_size=5
                )
            ),
        )
    )
    @hyp(max_examples=300, deadline=None)
    def test_any_json_is_a_message_or_an_error(self, value):
        items, _ = jsonrpc.parse(json.dumps(value))
        self.assertTrue(items)
        for item in items:
            if isinstance(item, jsonrpc.Wrong):
                self.assertIn("error", json.loads(item.bytes))

    def test_params_are_checked_with_the_place_named(self):
        cases = (
            ({"prompt": "x", "max_tokens": 0}, "max_tokens"),
            ({"prompt": "x", "messages": []}, "one of"),
            ({"messages": []}, "messages"),
            ({"messages": [{"role": 5}]}, "messages[0].role"),
            ({"prompt": "x", "trace": "00-xyz"}, "trace"),
            ({"prompt": "x", "session": ""}, "session"),
            ([], "object"),
        )
        for params, says in cases:
            with (
                self.subTest(params=params),
                self.assertRaisesRegex(jsonrpc.BadParams, says.replace("[", r"\[")),
            ):
                jsonrpc.generate(params)


class Lists(unittest.TestCase):
    def test_lines_that_are_none(self):
        entry = {"id": "a", "phase": "up", "address": "h:1"}
        for told in (
            {"scope": "some", "epoch": 1, "version": 1},
            {"scope": "whole", "epoch": "x", "version": 1},
            {"scope": "whole", "epoch": 1, "version": 1, "entries": [{**entry, "phase": "off"}]},
            {"scope": "whole", "epoch": 1, "version": 1, "entries": [{**entry, "address": "h:0"}]},
            {"scope": "whole", "epoch": 1, "version": 1, "entries": [{**entry, "colour": 1}]},
            [],
            5,
        ):
            with self.assertRaises(nodes.BadLine):
                nodes.told(json.dumps(told).encode())
        with self.assertRaises(nodes.BadLine):
            nodes.Lines(10).feed(b"x" * 11)


class Model(unittest.TestCase):
    def play(self, model, until, every=1000):
        events, now = [], model.now
        while now < until:
            now += every
            events += [(now, *event) for event in model.advance(now)]
        return events

    def job(self, id, kind, tokens, answer=4, opening="o"):
        chain = answers.chain_of(
            [{"role": "system", "content": opening * 400}, {"role": "user", "content": id * 4 * tokens}]
        )
        return Job(id, kind, chain, answer)

    def test_a_read_waits_until_it_is_fetched_and_kept_text_makes_the_next_one_quick(self):
        model = EngineModel(Spec(id="r", role="read"), 0)
        model.submit(0, self.job("a", "read", 4000))
        first = self.play(model, 2_000_000)
        self.assertEqual([event[1:3] for event in first], [("read", "a")])
        self.assertEqual(model.held(), 4100)
        model.submit(2_000_000, self.job("b", "read", 10))
        second = self.play(model, 3_000_000)
        self.assertEqual((second[0][3], second[0][0] - 2_000_000 < first[0][0] / 4), (100, True))
        self.assertTrue(model.fetch(3_000_000, "a", near=True))
        self.assertFalse(model.fetch(3_000_000, "a", near=True))
        self.assertIn(("moved", "a"), [event[1:] for event in self.play(model, 4_000_000)])
        self.assertEqual(model.held(), 110)
        self.assertTrue(model.drop(4_000_000, "b"))
        self.assertEqual((model.held(), model.jobs), (0, {}))

    def test_writes_share_steps_and_slots(self):
        model = EngineModel(Spec(id="w", role="write", slots=2, queue=3), 0)
        taken = [model.submit(0, self.job(id, "write", 10)) for id in "abcdef"]
        self.assertEqual(taken, ["ok"] * 5 + ["full"])
        self.assertEqual([event[1:] for event in self.play(model, 3000)], [("fetch", "a"), ("fetch", "b")])
        model.fetched(3000, "a", 110)
        model.fetched(3000, "b", 110)
        events = [event[1:] for event in self.play(model, 40_000)]
        self.assertEqual([event for event in events if event[0] == "done"], [("done", "a"), ("done", "b")])
        self.assertEqual([event[2] for event in events if event[:2] == ("token", "a")], [0, 1, 2, 3])
        self.assertIn(("fetch", "c"), events)

    def test_moves_share_a_link_and_a_slow_link_is_slow(self):
        for count, slow, expect in ((1, 1, 100_000), (2, 1, 200_000), (1, 10, 1_000_000)):
            model = EngineModel(Spec(id="r", role="read", link_per_s=10_000, read_us=0), 0)
            for i in range(count):
                model.submit(0, Job(str(i), "read", [(str(i), 1000)], 1))
            self.play(model, 50_000)
            model.slow_links(50_000, slow)
            for i in range(count):
                model.fetch(50_000, str(i), near=False)
            landed = [event[0] for event in self.play(model, 3_000_000) if event[1] == "moved"]
            self.assertAlmostEqual(landed[-1] - 50_000, expect, delta=3000)

    def test_a_cold_engine_is_slow_and_falls_when_pushed(self):
        spec = Spec(id="r", role="read", start=1, cold_share=0.25, warm_within_us=10_000_000, fall_multiple=2)
        times = {}
        for age in (0, 20_000_000):
            model = EngineModel(spec, 0)
            model.now = age
            model.submit(age, self.job("a", "read", 1000))
            times[age] = self.play(model, age + 2_000_000)[0][0] - age
        self.assertAlmostEqual(times[0] / times[20_000_000], 4, delta=0.5)
        model = EngineModel(spec, 0)
        for i in range(40):
            model.submit(i, self.job("j%d" % i, "read", 2000))
        self.assertIn("fell", [event[1] for event in self.play(model, 100_000)])

    def test_the_newest_answer_goes_back_when_memory_runs_out(self):
        model = EngineModel(Spec(id="m", memory_tokens=230, kept_tokens=0, slots=4), 0)
        for id in "ab":
            model.submit(0, self.job(id, "both", 5, answer=12))
        events = [event[1:] for event in self.play(model, 4_000_000)]
        self.assertEqual([event for event in events if event[0] == "done"], [("done", "a"), ("done", "b")])
        self.assertEqual([event[2] for event in events if event[:2] == ("token", "b")], list(range(12)))

    def test_a_hung_engine_goes_on_later(self):
        model = EngineModel(Spec(id="m"), 0)
        model.hung = True
        model.submit(0, self.job("a", "both", 5))
        self.assertEqual(self.play(model, 1_000_000), [])
        model.hung = False
        self.assertIn("done", [event[1] for event in self.play(model, 2_000_000)])


if __name__ == "__main__":
    unittest.main()
