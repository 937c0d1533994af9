use crate::prelude::*;
pub struct Model;
impl Model {
    pub fn new(_: &Slopes) -> Model {
        Model
    }
}
