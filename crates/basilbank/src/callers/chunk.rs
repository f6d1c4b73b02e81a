//! The JSON of answers, in the OpenAI API's shape.

use basilbank_core::ids::RequestId;
use serde::Serialize;

use super::form::Shape;

/// What was used for an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that came from the prefix cache.
    pub cached: u32,
    /// Generated tokens.
    pub generated: u32,
}

/// The parts that all answers to one call have in common.
#[derive(Clone, Debug)]
pub struct Envelope {
    shape: Shape,
    model: String,
    created: u64,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Piece<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Piece<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    logprobs: Option<()>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Piece<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

/// Whether a chunk is the first of its answer, which names the speaker.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Position {
    /// The answer's first.
    First,
    /// A later one.
    Later,
}

impl Envelope {
    /// The envelope of one call's answers; `created` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(shape: Shape, model: &str, created: u64) -> Envelope {
        Envelope { shape, model: model.to_owned(), created }
    }

    /// A whole answer.
    #[must_use]
    pub fn whole(&self, request: RequestId, text: &str, reason: &str, usage: Usage) -> String {
        let piece = Piece { role: Some("assistant"), content: Some(text) };
        let mut choice = Choice::new(Some(reason));
        match self.shape {
            Shape::Chat => choice.message = Some(piece),
            Shape::Text => choice.text = Some(text),
        }
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Text => "text_completion",
        };
        self.json(request, object, vec![choice], Some(usage))
    }

    /// A chunk with one token.
    #[must_use]
    pub fn token(&self, request: RequestId, text: &str, position: Position) -> String {
        let role = (position == Position::First).then_some("assistant");
        let mut choice = Choice::new(None);
        match self.shape {
            Shape::Chat => choice.delta = Some(Piece { role, content: Some(text) }),
            Shape::Text => choice.text = Some(text),
        }
        self.json(request, self.chunk_object(), vec![choice], None)
    }

    /// The chunk that ends an answer.
    #[must_use]
    pub fn finish(&self, request: RequestId, reason: &str) -> String {
        let mut choice = Choice::new(Some(reason));
        match self.shape {
            Shape::Chat => choice.delta = Some(Piece { role: None, content: None }),
            Shape::Text => choice.text = Some(""),
        }
        self.json(request, self.chunk_object(), vec![choice], None)
    }

    /// The chunk that says what was used.
    #[must_use]
    pub fn usage(&self, request: RequestId, usage: Usage) -> String {
        self.json(request, self.chunk_object(), Vec::new(), Some(usage))
    }

    fn chunk_object(&self) -> &'static str {
        match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        }
    }

    fn json(
        &self,
        request: RequestId,
        object: &'static str,
        choices: Vec<Choice<'_>>,
        usage: Option<Usage>,
    ) -> String {
        let prefix = match self.shape {
            Shape::Chat => "chatcmpl",
            Shape::Text => "cmpl",
        };
        let body = AnswerBody {
            id: format!("{prefix}-{request}"),
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage: usage.map(UsageBody::from),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

impl Choice<'_> {
    fn new(reason: Option<&str>) -> Choice<'_> {
        Choice {
            index: 0,
            message: None,
            delta: None,
            text: None,
            logprobs: None,
            finish_reason: reason,
        }
    }
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> UsageBody {
        UsageBody {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.generated,
            total_tokens: usage.prompt.saturating_add(usage.generated),
            prompt_tokens_details: PromptDetails { cached_tokens: usage.cached },
        }
    }
}
